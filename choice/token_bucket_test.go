package choice

import "testing"

func TestBucketThatNeverFillsIsNeverFull(t *testing.T) {
	empty := tokenBucket{burst: 1}
	if at := empty.fullAt(); at != 1<<63-1 {
		t.Fatal("full at", at)
	}
}
