package limiter

import (
	"bytes"
	"hash/maphash"
	"math/bits"
)

// nameSet holds the names in a command's list of fields, to find one that is given twice. A command may have thousands
// of them, so adding a name takes the same time however many there are. Its memory is reused for the next list. The zero
// value is ready for reset.
type nameSet struct {
	seed  maphash.Seed
	list  []byte
	slots []nameSlot // a hash table with open addressing; the length is a power of two and at most half are used
}

// nameSlot is the place of a name in the list, from its start to before its equals sign. The zero value is a free slot.
type nameSlot struct{ start, afterEquals uint32 }

// reset empties the set for the names of a list.
func (s *nameSet) reset(list []byte) {
	if s.slots == nil {
		s.seed = maphash.MakeSeed()
	}
	s.list = list
	fields := bytes.Count(list, []byte{','}) + 1
	size := 1 << bits.Len(uint(2*fields-1))
	if cap(s.slots) < size {
		s.slots = make([]nameSlot, size)
	}
	s.slots = s.slots[:size]
	clear(s.slots)
}

// add adds the name of the field that begins at start and whose equals sign is at end. It returns false if the set has
// that name already.
func (s *nameSet) add(start, end int) bool {
	name := s.list[start:end]
	mask := len(s.slots) - 1
	for i := int(maphash.Bytes(s.seed, name)) & mask; ; i = (i + 1) & mask {
		slot := s.slots[i]
		if slot.afterEquals == 0 {
			s.slots[i] = nameSlot{uint32(start), uint32(end + 1)}
			return true
		}
		if bytes.Equal(s.list[slot.start:slot.afterEquals-1], name) {
			return false
		}
	}
}
