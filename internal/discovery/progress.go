package discovery

import (
	"bytes"
	"strconv"
)

const (
	// maxEncodedBytes is the largest size of a chunked body with the sizes of its chunks, in bytes.
	maxEncodedBytes = 2 * maxBodyBytes
	// maxChunkSizeDigits is the largest number of hexadecimal digits of a chunk's size that skipChunks reads.
	maxChunkSizeDigits = 8
)

var lineEnd = []byte("\r\n")

// Progress is how much of a chunked body has been found to be complete chunks. The zero value is for a response of which
// nothing has been read.
type Progress struct {
	encoded int // bytes of the body that are complete chunks
	decoded int // bytes of their content
}

// skipChunks moves behind the complete chunks of a body. It stops at the last chunk and at anything unusual, which it
// leaves to the complete parser.
func (p *Progress) skipChunks(body []byte) {
	for {
		rest := body[p.encoded:]
		digits := bytes.Index(rest[:min(len(rest), maxChunkSizeDigits+len(lineEnd))], lineEnd)
		if digits <= 0 {
			return
		}
		size, err := strconv.ParseUint(string(rest[:digits]), 16, 32)
		chunk := digits + len(lineEnd) + int(size) + len(lineEnd)
		if err != nil || size == 0 || chunk > len(rest) || !bytes.HasSuffix(rest[:chunk], lineEnd) {
			return
		}
		p.encoded += chunk
		p.decoded += int(size)
	}
}
