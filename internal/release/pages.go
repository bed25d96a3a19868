package release

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
)

// checkPages walks the pages of a bbolt file in memory, with bounds checks, before bbolt maps the file. bbolt trusts its
// pages: a truncated or changed page ends the process with a memory fault that cannot be recovered. checkPages also rejects
// a file with one damaged meta page: bbolt would use the older meta page, and the control plane would restart with a state
// older than what it had sent.
func checkPages(data []byte) (err error) {
	w := &pageWalker{data: data, visited: map[uint64]bool{}}
	if err := w.readMetaPages(); err != nil {
		return err
	}
	if err := w.walkPage(w.rootPage, 0); err != nil {
		return err
	}
	return w.checkFreelist()
}

// Page flags and sizes in bytes of bbolt's file format, and a bound on the depth of its B+ tree. In the functions below,
// these fields are at these offsets, with their sizes in bytes:
//   - page header: ID 0 (8), flags 8 (2), element count 10 (2), overflow pages 12 (4)
//   - meta page, after the header: magic number 0 (4), page size 8 (4), root page 16 (8), freelist page 32 (8), page count
//     40 (8), transaction 48 (8), checksum 56 (8)
//   - branch element: offset of the key 0 (4), its length 4 (4), page 8 (8)
//   - leaf element: kind 0 (4), offset of the key 4 (4), its length 8 (4), length of the value 12 (4)
const (
	branchFlag, leafFlag, freelistFlag = 0x01, 0x02, 0x10

	pageHeaderSize    = 16
	branchElementSize = 16
	leafElementSize   = 16
	maxDepth          = 64
)

// pageWalker walks the pages of a bbolt file.
type pageWalker struct {
	data                   []byte
	pageSize               uint64 // in bytes
	rootPage, freelistPage uint64
	pageCount              uint64 // all pages: in use, free and meta pages
	visited                map[uint64]bool
}

// readMetaPages checks both meta pages and reads the newer one.
func (w *pageWalker) readMetaPages() error {
	byteOrder := binary.NativeEndian
	newestTransaction := uint64(0)
	w.pageSize = 4096
	if len(w.data) >= pageHeaderSize+12 {
		w.pageSize = uint64(byteOrder.Uint32(w.data[pageHeaderSize+8:]))
	}
	if w.pageSize < 512 || w.pageSize > 1<<16 || w.pageSize&(w.pageSize-1) != 0 || uint64(len(w.data)) < 2*w.pageSize {
		return fmt.Errorf("an unreadable meta page")
	}
	for i := range uint64(2) {
		meta := w.data[i*w.pageSize+pageHeaderSize:][:64]
		hash := fnv.New64a()
		hash.Write(meta[:56])
		if byteOrder.Uint64(w.data[i*w.pageSize:]) != i || byteOrder.Uint32(meta) != 0xED0CDAED || byteOrder.Uint64(meta[56:]) != hash.Sum64() ||
			uint64(byteOrder.Uint32(meta[8:])) != w.pageSize {
			return fmt.Errorf("a meta page with a wrong checksum")
		}
		if transaction := byteOrder.Uint64(meta[48:]); transaction >= newestTransaction {
			newestTransaction = transaction
			w.rootPage, w.freelistPage, w.pageCount = byteOrder.Uint64(meta[16:]), byteOrder.Uint64(meta[32:]), byteOrder.Uint64(meta[40:])
		}
	}
	if w.pageCount > uint64(len(w.data))/w.pageSize {
		return fmt.Errorf("a file that is %d pages too short", w.pageCount-uint64(len(w.data))/w.pageSize)
	}
	w.visited[0], w.visited[1] = true, true
	return nil
}

// readPage returns a page with its overflow pages, and marks them as visited.
func (w *pageWalker) readPage(id uint64) (body []byte, flags uint16, count uint64, err error) {
	if id >= w.pageCount {
		return nil, 0, 0, fmt.Errorf("a reference to page %d, which is beyond the end", id)
	}
	byteOrder := binary.NativeEndian
	page := w.data[id*w.pageSize:]
	overflow := uint64(byteOrder.Uint32(page[12:]))
	if byteOrder.Uint64(page) != id || id+overflow >= w.pageCount {
		return nil, 0, 0, fmt.Errorf("page %d with a wrong header", id)
	}
	for pageID := id; pageID <= id+overflow; pageID++ {
		if w.visited[pageID] {
			return nil, 0, 0, fmt.Errorf("page %d used twice", pageID)
		}
		w.visited[pageID] = true
	}
	return page[:(overflow+1)*w.pageSize], byteOrder.Uint16(page[8:]), uint64(byteOrder.Uint16(page[10:])), nil
}

// walkPage walks a page of the tree and all pages below it.
func (w *pageWalker) walkPage(id uint64, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("a tree of pages that is too deep")
	}
	body, flags, count, err := w.readPage(id)
	if err != nil {
		return err
	}
	return w.walkElements(id, body, flags, count, depth)
}

// walkElements walks the elements of a page, or of an inline bucket within a page.
func (w *pageWalker) walkElements(id uint64, body []byte, flags uint16, count uint64, depth int) error {
	if flags != branchFlag && flags != leafFlag || pageHeaderSize+count*leafElementSize > uint64(len(body)) {
		return fmt.Errorf("page %d of an unknown type", id)
	}
	byteOrder := binary.NativeEndian
	var previousKey []byte
	for i := range count {
		offset := pageHeaderSize + i*leafElementSize
		element := body[offset:]
		positionOffset, lengthOffset := 4, 8
		if flags == branchFlag {
			positionOffset, lengthOffset = 0, 4
		}
		keyStart := offset + uint64(byteOrder.Uint32(element[positionOffset:]))
		keyEnd := keyStart + uint64(byteOrder.Uint32(element[lengthOffset:]))
		valueEnd := keyEnd
		if flags == leafFlag {
			valueEnd += uint64(byteOrder.Uint32(element[12:]))
		}
		if keyStart < pageHeaderSize+count*leafElementSize || valueEnd > uint64(len(body)) {
			return fmt.Errorf("page %d with an element beyond its end", id)
		}
		key := body[keyStart:keyEnd]
		if i > 0 && bytes.Compare(previousKey, key) >= 0 {
			return fmt.Errorf("page %d with keys out of order", id)
		}
		previousKey = key
		var err error
		switch kind := byteOrder.Uint32(element); {
		case flags == branchFlag:
			err = w.walkPage(byteOrder.Uint64(element[8:]), depth+1)
		case kind == 1: // a bucket: the ID of its root page, or 0 and an inline page
			value := body[keyEnd:valueEnd]
			if len(value) < 16 {
				return fmt.Errorf("page %d with an invalid bucket", id)
			}
			if root := byteOrder.Uint64(value); root > 0 {
				err = w.walkPage(root, depth+1)
			} else if inlinePage := value[16:]; len(inlinePage) < pageHeaderSize {
				err = fmt.Errorf("page %d with an invalid bucket", id)
			} else {
				err = w.walkElements(id, inlinePage, byteOrder.Uint16(inlinePage[8:]), uint64(byteOrder.Uint16(inlinePage[10:])), depth+1)
			}
		case kind != 0:
			err = fmt.Errorf("page %d with an element of an unknown type", id)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkFreelist checks that every page is either in use or in the freelist.
func (w *pageWalker) checkFreelist() error {
	body, flags, count, err := w.readPage(w.freelistPage)
	if err != nil {
		return err
	}
	offset := uint64(pageHeaderSize)
	byteOrder := binary.NativeEndian
	if count == 0xFFFF { // does not fit into the header: the length precedes the pages
		count, offset = byteOrder.Uint64(body[pageHeaderSize:]), pageHeaderSize+8
	}
	if flags != freelistFlag || count > (uint64(len(body))-offset)/8 {
		return fmt.Errorf("an unreadable freelist")
	}
	for i := range count {
		id := byteOrder.Uint64(body[offset+8*i:])
		if id >= w.pageCount || w.visited[id] {
			return fmt.Errorf("page %d both free and in use", id)
		}
		w.visited[id] = true
	}
	if uint64(len(w.visited)) != w.pageCount {
		return fmt.Errorf("%d pages neither free nor in use", w.pageCount-uint64(len(w.visited)))
	}
	return nil
}
