package controller

import (
	"notchmux.dev/notchmux/internal/writer"
	"strconv"
	"strings"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// The machines' images are kept as a hint for the next leader. One value holds those
// of some 200 machines; the machines that have most are in the first record, the
// others follow in further ones, which only this version's later forms know.

const imagePagePrefix = imageKey + "/"

func imagePageKey(page int) string { return imagePagePrefix + strconv.Itoa(page) }

func isImageKey(key string) bool {
	return key == imageKey || strings.HasPrefix(key, imagePagePrefix)
}

// imageWriter keeps the records of the machines' images. Each round writes the first
// record and one of the others in turn, so that the cost does not grow with the fleet.
type imageWriter struct {
	w     *records
	first *writer.Entry
	pages map[int]*writer.Entry // the further records that the store may hold
	turn  int                   // the further record that was written last
}

func newImageWriter(w *records) *imageWriter {
	iw := &imageWriter{w: w, first: w.Entry(imageKey), pages: map[int]*writer.Entry{}}
	iw.first.Build = func() (any, uint64) { return w.l.c.ImagePages(iw.size())[0], 0 }
	return iw
}

// size is what a record may take: half of a value, since its size is estimated.
func (iw *imageWriter) size() int { return iw.w.l.ValueBytes() / 2 }

// restored notes a record that the takeover read.
func (iw *imageWriter) restored(it wire.Item) {
	if it.Key == imageKey {
		iw.first.SetVersion(uint64(it.Version))
		return
	}
	if n, err := strconv.Atoi(strings.TrimPrefix(it.Key, imagePagePrefix)); err == nil && n > 0 {
		iw.page(n).SetVersion(uint64(it.Version))
	}
}

// page finds or makes the entry of a further record. A record that is needed no more
// is deleted.
func (iw *imageWriter) page(n int) *writer.Entry {
	entry := iw.pages[n]
	if entry != nil {
		return entry
	}
	entry = iw.w.Entry(imagePageKey(n))
	entry.Build = func() (any, uint64) {
		if all := iw.w.l.c.ImagePages(iw.size()); n < len(all) {
			return all[n], 0
		}
		delete(iw.pages, n)
		return nil, 0
	}
	iw.pages[n] = entry
	return entry
}

// next writes the first record, and one of the others.
func (iw *imageWriter) next(now micro.Time) {
	iw.first.Touch(now, writer.Lazy)
	if !iw.w.l.c.Compact {
		return // the version before would not delete them
	}
	last := len(iw.w.l.c.ImagePages(iw.size())) - 1
	for n := range iw.pages {
		last = max(last, n)
	}
	if last == 0 {
		return
	}
	iw.turn = iw.turn%last + 1
	iw.page(iw.turn).Touch(now, writer.Lazy)
}
