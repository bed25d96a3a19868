package release

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
)

// checkPages walks the pages of a bbolt file in memory, with every bound checked, before bbolt maps it: bbolt trusts its
// pages, and one that was cut off or changed ends the process where nobody can catch it. It refuses a file of whose two
// heads one is damaged too: bbolt would take the older one, and the desk would come back to less than it had told.
func checkPages(data []byte) (err error) {
	w := &walker{data: data, seen: map[uint64]bool{}}
	if err := w.heads(); err != nil {
		return err
	}
	if err := w.page(w.root, 0); err != nil {
		return err
	}
	return w.free()
}

const (
	branchPage, leafPage, freePage = 0x01, 0x02, 0x10

	headSize   = 16 // of a page
	branchSize = 16 // of an element
	leafSize   = 16
	mostDepth  = 64
)

type walker struct {
	data           []byte
	size           uint64 // of a page
	root, freelist uint64
	pages          uint64 // in use or free, the heads too
	seen           map[uint64]bool
}

// heads reads both and takes the newer.
func (w *walker) heads() error {
	order := binary.NativeEndian
	newest := uint64(0)
	w.size = 4096
	if len(w.data) >= headSize+12 {
		w.size = uint64(order.Uint32(w.data[headSize+8:]))
	}
	if w.size < 512 || w.size > 1<<16 || w.size&(w.size-1) != 0 || uint64(len(w.data)) < 2*w.size {
		return fmt.Errorf("a head that can't be read")
	}
	for i := range uint64(2) {
		head := w.data[i*w.size+headSize:][:64]
		sum := fnv.New64a()
		sum.Write(head[:56])
		if order.Uint64(w.data[i*w.size:]) != i || order.Uint32(head) != 0xED0CDAED || order.Uint64(head[56:]) != sum.Sum64() ||
			uint64(order.Uint32(head[8:])) != w.size {
			return fmt.Errorf("a head that does not agree with its sum")
		}
		if txid := order.Uint64(head[48:]); txid >= newest {
			newest = txid
			w.root, w.freelist, w.pages = order.Uint64(head[16:]), order.Uint64(head[32:]), order.Uint64(head[40:])
		}
	}
	if w.pages > uint64(len(w.data))/w.size {
		return fmt.Errorf("%d pages cut off", w.pages-uint64(len(w.data))/w.size)
	}
	w.seen[0], w.seen[1] = true, true
	return nil
}

// body is a page with its overflow, marked as in use.
func (w *walker) body(id uint64) (body []byte, flags uint16, count uint64, err error) {
	if id >= w.pages {
		return nil, 0, 0, fmt.Errorf("page %d beyond the end", id)
	}
	order := binary.NativeEndian
	head := w.data[id*w.size:]
	overflow := uint64(order.Uint32(head[12:]))
	if order.Uint64(head) != id || id+overflow >= w.pages {
		return nil, 0, 0, fmt.Errorf("page %d that is not what it says", id)
	}
	for n := id; n <= id+overflow; n++ {
		if w.seen[n] {
			return nil, 0, 0, fmt.Errorf("page %d used twice", n)
		}
		w.seen[n] = true
	}
	return head[:(overflow+1)*w.size], order.Uint16(head[8:]), uint64(order.Uint16(head[10:])), nil
}

func (w *walker) page(id uint64, depth int) error {
	if depth > mostDepth {
		return fmt.Errorf("pages without end")
	}
	body, flags, count, err := w.body(id)
	if err != nil {
		return err
	}
	return w.elements(id, body, flags, count, depth)
}

// elements walks those of a page, or of a small bucket that lies within one.
func (w *walker) elements(id uint64, body []byte, flags uint16, count uint64, depth int) error {
	if flags != branchPage && flags != leafPage || headSize+count*leafSize > uint64(len(body)) {
		return fmt.Errorf("page %d of no known kind", id)
	}
	order := binary.NativeEndian
	var before []byte
	for i := range count {
		at := headSize + i*leafSize
		e := body[at:]
		posAt, lenAt := 4, 8
		if flags == branchPage {
			posAt, lenAt = 0, 4
		}
		from := at + uint64(order.Uint32(e[posAt:]))
		to := from + uint64(order.Uint32(e[lenAt:]))
		end := to
		if flags == leafPage {
			end += uint64(order.Uint32(e[12:]))
		}
		if from < headSize+count*leafSize || end > uint64(len(body)) {
			return fmt.Errorf("page %d with an entry beyond its end", id)
		}
		key := body[from:to]
		if i > 0 && bytes.Compare(before, key) >= 0 {
			return fmt.Errorf("page %d out of order", id)
		}
		before = key
		var err error
		switch kind := order.Uint32(e); {
		case flags == branchPage:
			err = w.page(order.Uint64(e[8:]), depth+1)
		case kind == 1: // a bucket: its root, and its page if it is small
			value := body[to:end]
			if len(value) < 16 {
				return fmt.Errorf("page %d with a bucket that is none", id)
			}
			if root := order.Uint64(value); root > 0 {
				err = w.page(root, depth+1)
			} else if small := value[16:]; len(small) < headSize {
				err = fmt.Errorf("page %d with a bucket that is none", id)
			} else {
				err = w.elements(id, small, order.Uint16(small[8:]), uint64(order.Uint16(small[10:])), depth+1)
			}
		case kind != 0:
			err = fmt.Errorf("page %d with an entry of no known kind", id)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// free sees that every page is either in use or free.
func (w *walker) free() error {
	body, flags, count, err := w.body(w.freelist)
	if err != nil {
		return err
	}
	from := uint64(headSize)
	order := binary.NativeEndian
	if count == 0xFFFF {
		count, from = order.Uint64(body[headSize:]), headSize+8
	}
	if flags != freePage || count > (uint64(len(body))-from)/8 {
		return fmt.Errorf("free pages that can't be read")
	}
	for i := range count {
		id := order.Uint64(body[from+8*i:])
		if id >= w.pages || w.seen[id] {
			return fmt.Errorf("page %d both free and in use", id)
		}
		w.seen[id] = true
	}
	if uint64(len(w.seen)) != w.pages {
		return fmt.Errorf("%d pages neither free nor in use", w.pages-uint64(len(w.seen)))
	}
	return nil
}
