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
	metaChecked  = 56 // bytes of a meta record that its checksum covers
	bucketHeader = 16 // bytes: root 8, sequence 8
	flagBranch   = 0x01
	flagLeaf     = 0x02
	flagFreelist = 0x10
	freelistItem = 8 // bytes
	// freelistCountInItem in the count field marks a freelist whose first item is
	// its count.
	freelistCountInItem = 0xFFFF
	elementBucket       = 0x01
)

// pageChecker checks that the pages of a file form a tree and that the elements of
// each page lie inside it. bbolt assumes both: on a damaged file it may read
// outside the file in a goroutine of its own, or loop for ever.
type pageChecker struct {
	data     []byte
	pageSize uint64
	visited  map[uint64]bool
}

// checkTree checks the freelist and all pages that are reachable from the root of
// the newest meta page.
func checkTree(data []byte) error {
	c := pageChecker{data: data, visited: map[uint64]bool{}}
	root, freelist, ok := c.newestMeta()
	if !ok {
		return corrupt("no meta page is valid")
	}
	if err := c.checkFreelist(freelist); err != nil {
		return err
	}
	return c.checkPage(root)
}

// newestMeta returns the root and freelist page numbers of the newest meta page
// with a valid checksum, and sets the page size. A meta record holds the page size
// at offset 8, the root at 16, the freelist at 32, the transaction number at 48 and
// the checksum at 56.
func (c *pageChecker) newestMeta() (root, freelist uint64, ok bool) {
	var newest uint64
	found := false
	size := uint64(binary.NativeEndian.Uint32(c.data[pageHeader+8:]))
	for _, offset := range []uint64{0, size} {
		meta := c.bytes(offset+pageHeader, metaSize)
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
		c.pageSize = uint64(binary.NativeEndian.Uint32(meta[8:]))
	}
	return root, freelist, found && c.pageSize > 0
}

// bytes returns n bytes of the file from an offset on, or nil when they are not
// all inside the file.
func (c *pageChecker) bytes(offset, n uint64) []byte {
	if offset > uint64(len(c.data)) || n > uint64(len(c.data))-offset {
		return nil
	}
	return c.data[offset : offset+n]
}

// visit marks a page as visited and returns its bytes, overflow pages included. It
// fails for a page that was visited before or is outside of the file.
func (c *pageChecker) visit(id uint64) ([]byte, error) {
	if id >= uint64(len(c.data))/c.pageSize || c.visited[id] {
		return nil, corrupt("page %d is outside of the file or used twice", id)
	}
	c.visited[id] = true
	header := c.bytes(id*c.pageSize, pageHeader)
	overflow := uint64(binary.NativeEndian.Uint32(header[12:]))
	page := c.bytes(id*c.pageSize, (overflow+1)*c.pageSize)
	if page == nil || binary.NativeEndian.Uint64(header) != id {
		return nil, corrupt("page %d has a damaged header", id)
	}
	return page, nil
}

// checkPage checks a page and the pages below it.
func (c *pageChecker) checkPage(id uint64) error {
	page, err := c.visit(id)
	if err != nil {
		return err
	}
	return c.checkElements(id, page)
}

// checkFreelist checks the type and the length of the list of free pages.
func (c *pageChecker) checkFreelist(id uint64) error {
	page, err := c.visit(id)
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

// checkElements checks the elements of a page, or of a bucket inside a page.
func (c *pageChecker) checkElements(id uint64, page []byte) error {
	flags := binary.NativeEndian.Uint16(page[8:])
	count := uint64(binary.NativeEndian.Uint16(page[10:]))
	if flags != flagBranch && flags != flagLeaf || pageHeader+count*elementSize > uint64(len(page)) {
		return corrupt("page %d has flags %x and %d elements", id, flags, count)
	}
	for i := range count {
		offset := pageHeader + i*elementSize
		var err error
		if flags == flagBranch {
			err = c.checkBranch(id, page[offset:])
		} else {
			err = c.checkLeaf(id, page[offset:])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkBranch checks a branch element, given the bytes of the page from the element
// on.
func (c *pageChecker) checkBranch(id uint64, e []byte) error {
	position, keySize := uint64(binary.NativeEndian.Uint32(e)), uint64(binary.NativeEndian.Uint32(e[4:]))
	if position+keySize > uint64(len(e)) {
		return corrupt("page %d has a key outside of it", id)
	}
	return c.checkPage(binary.NativeEndian.Uint64(e[8:]))
}

// checkLeaf checks a leaf element, and the bucket that it may contain.
func (c *pageChecker) checkLeaf(id uint64, e []byte) error {
	flags, position := binary.NativeEndian.Uint32(e), uint64(binary.NativeEndian.Uint32(e[4:]))
	keySize, valueSize := uint64(binary.NativeEndian.Uint32(e[8:])), uint64(binary.NativeEndian.Uint32(e[12:]))
	if position+keySize+valueSize > uint64(len(e)) {
		return corrupt("page %d has a record outside of it", id)
	}
	if flags&elementBucket == 0 {
		return nil
	}
	bucket := e[position+keySize : position+keySize+valueSize]
	if valueSize < bucketHeader {
		return corrupt("page %d has a bucket of %d bytes", id, valueSize)
	}
	if root := binary.NativeEndian.Uint64(bucket); root != 0 {
		return c.checkPage(root)
	}
	if valueSize < bucketHeader+pageHeader {
		return corrupt("page %d has a bucket of %d bytes", id, valueSize)
	}
	return c.checkElements(id, bucket[bucketHeader:])
}
