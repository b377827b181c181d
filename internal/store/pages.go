package store

import (
	"encoding/binary"
	"hash/fnv"
)

// Layout of a bbolt file, in the byte order of the machine.
const (
	pageHeader   = 16 // bytes: id 8, flags 2, count 2, overflow 4
	elementSize  = 16 // bytes, in branch and leaf pages
	metaSize     = 64 // bytes
	metaChecked  = 56 // bytes of a meta record under its checksum
	bucketHeader = 16 // bytes: root 8, sequence 8
	flagBranch   = 0x01
	flagLeaf     = 0x02
	flagFreelist = 0x10
	freelistItem = 8 // bytes
	// largeFreelist is the count of a freelist whose first item is its count.
	freelistCountInItem = 0xFFFF
	elementBucket       = 0x01
)

// pageWalk checks that the pages of a file form a tree and that their elements
// lie inside them. bbolt takes both for granted: on a damaged file it may read
// outside the file in a goroutine of its own, or never end.
type pageChecker struct {
	data     []byte
	pageSize uint64
	visited  map[uint64]bool
}

func checkTree(data []byte) error {
	w := pageChecker{data: data, visited: map[uint64]bool{}}
	root, freelist, ok := w.newestMeta()
	if !ok {
		return corrupt("no meta page is valid")
	}
	if err := w.checkFreelist(freelist); err != nil {
		return err
	}
	return w.checkPage(root)
}

// meta returns the root and freelist pages named by the newest valid meta page.
func (w *pageChecker) newestMeta() (root, freelist uint64, ok bool) {
	var newest uint64
	found := false
	size := uint64(binary.NativeEndian.Uint32(w.data[pageHeader+8:]))
	for _, at := range []uint64{0, size} {
		meta := w.bytes(at+pageHeader, metaSize)
		if meta == nil {
			continue
		}
		sum := fnv.New64a()
		_, _ = sum.Write(meta[:metaChecked]) // never fails
		txid := binary.NativeEndian.Uint64(meta[48:])
		if sum.Sum64() != binary.NativeEndian.Uint64(meta[metaChecked:]) || found && txid < newest {
			continue
		}
		root, newest, found = binary.NativeEndian.Uint64(meta[16:]), txid, true
		freelist = binary.NativeEndian.Uint64(meta[32:])
		w.pageSize = uint64(binary.NativeEndian.Uint32(meta[8:]))
	}
	return root, freelist, found && w.pageSize > 0
}

// bytes returns n bytes of the file, or nil when they are outside of it.
func (w *pageChecker) bytes(at, n uint64) []byte {
	if at > uint64(len(w.data)) || n > uint64(len(w.data))-at {
		return nil
	}
	return w.data[at : at+n]
}

// take returns the bytes of a page that was not visited before.
func (w *pageChecker) visit(id uint64) ([]byte, error) {
	if id >= uint64(len(w.data))/w.pageSize || w.visited[id] {
		return nil, corrupt("page %d is outside of the file or used twice", id)
	}
	w.visited[id] = true
	header := w.bytes(id*w.pageSize, pageHeader)
	overflow := uint64(binary.NativeEndian.Uint32(header[12:]))
	page := w.bytes(id*w.pageSize, (overflow+1)*w.pageSize)
	if page == nil || binary.NativeEndian.Uint64(header) != id {
		return nil, corrupt("page %d has a damaged header", id)
	}
	return page, nil
}

// page checks a page and the pages below it.
func (w *pageChecker) checkPage(id uint64) error {
	page, err := w.visit(id)
	if err != nil {
		return err
	}
	return w.checkElements(id, page)
}

// freelist checks the bounds of the list of free pages.
func (w *pageChecker) checkFreelist(id uint64) error {
	page, err := w.visit(id)
	if err != nil {
		return err
	}
	items := uint64(binary.NativeEndian.Uint16(page[10:]))
	if items == freelistCountInItem {
		items = binary.NativeEndian.Uint64(page[pageHeader:]) + 1
	}
	fits := items <= uint64(len(page)-pageHeader)/freelistItem
	if binary.NativeEndian.Uint16(page[8:]) != flagFreelist || !fits {
		return corrupt("the list of free pages is damaged")
	}
	return nil
}

// elements checks the elements of a page, or of a bucket inside a page.
func (w *pageChecker) checkElements(id uint64, page []byte) error {
	flags := binary.NativeEndian.Uint16(page[8:])
	count := uint64(binary.NativeEndian.Uint16(page[10:]))
	if flags != flagBranch && flags != flagLeaf || pageHeader+count*elementSize > uint64(len(page)) {
		return corrupt("page %d has flags %x and %d elements", id, flags, count)
	}
	for i := range count {
		at := pageHeader + i*elementSize
		var err error
		if flags == flagBranch {
			err = w.checkBranch(id, page[at:])
		} else {
			err = w.checkLeaf(id, page[at:])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// branch checks a branch element, given the page from the element on.
func (w *pageChecker) checkBranch(id uint64, e []byte) error {
	position, key := uint64(binary.NativeEndian.Uint32(e)), uint64(binary.NativeEndian.Uint32(e[4:]))
	if position+key > uint64(len(e)) {
		return corrupt("page %d has a key outside of it", id)
	}
	return w.checkPage(binary.NativeEndian.Uint64(e[8:]))
}

// leaf checks a leaf element, and the bucket that it may hold.
func (w *pageChecker) checkLeaf(id uint64, e []byte) error {
	flags, position := binary.NativeEndian.Uint32(e), uint64(binary.NativeEndian.Uint32(e[4:]))
	key, value := uint64(binary.NativeEndian.Uint32(e[8:])), uint64(binary.NativeEndian.Uint32(e[12:]))
	if position+key+value > uint64(len(e)) {
		return corrupt("page %d has a record outside of it", id)
	}
	if flags&elementBucket == 0 {
		return nil
	}
	bucket := e[position+key : position+key+value]
	if value < bucketHeader {
		return corrupt("page %d has a bucket of %d bytes", id, value)
	}
	if root := binary.NativeEndian.Uint64(bucket); root != 0 {
		return w.checkPage(root)
	}
	if value < bucketHeader+pageHeader {
		return corrupt("page %d has a bucket of %d bytes", id, value)
	}
	return w.checkElements(id, bucket[bucketHeader:])
}
