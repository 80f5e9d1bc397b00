package controller

import (
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// The machines' images are kept as a hint for the next leader. One value holds those
// of some 200 machines; the machines that have most are in the first record, the
// others follow in further ones, which only this version's later forms know.

// imageWriter keeps the records of the machines' images. Each round writes the first
// record and one of the others in turn, so that the cost does not grow with the fleet.
type imageWriter struct {
	records     *recordStore
	firstPage   *statestore.Record
	pages       map[int]*statestore.Record // the further records that the store may hold
	lastWritten int                        // the further record that was written last
}

func newImageWriter(w *recordStore) *imageWriter {
	iw := &imageWriter{records: w, firstPage: w.Record(keys.Images), pages: map[int]*statestore.Record{}}
	iw.firstPage.Build = func() (any, uint64) { return w.leader.cluster.ImagePages(iw.maxRecordSize())[0], 0 }
	return iw
}

// maxRecordSize is what a record may take: half of a value, since its size is estimated.
func (iw *imageWriter) maxRecordSize() int { return iw.records.leader.MaxValueBytes() / 2 }

// restore notes a record that the takeover read.
func (iw *imageWriter) restore(it wire.Item) {
	page, ok := keys.ParseImagePage(it.Key)
	switch {
	case !ok:
	case page == 0:
		iw.firstPage.SetVersion(uint64(it.Version))
	default:
		iw.pageRecord(page).SetVersion(uint64(it.Version))
	}
}

// pageRecord finds or makes the entry of a further record. A record that is needed no more
// is deleted.
func (iw *imageWriter) pageRecord(page int) *statestore.Record {
	record := iw.pages[page]
	if record != nil {
		return record
	}
	record = iw.records.Record(keys.ImagePage(page))
	record.Build = func() (any, uint64) {
		if pages := iw.records.leader.cluster.ImagePages(iw.maxRecordSize()); page < len(pages) {
			return pages[page], 0
		}
		delete(iw.pages, page)
		return nil, 0
	}
	iw.pages[page] = record
	return record
}

// writeNext writes the first record, and one of the others.
func (iw *imageWriter) writeNext(now micro.Time) {
	iw.firstPage.MarkDirty(now, statestore.PriorityLow)
	if !iw.records.leader.cluster.CompactRecords {
		return // the version before would not delete them
	}
	last := len(iw.records.leader.cluster.ImagePages(iw.maxRecordSize())) - 1
	for n := range iw.pages {
		last = max(last, n)
	}
	if last == 0 {
		return
	}
	iw.lastWritten = iw.lastWritten%last + 1
	iw.pageRecord(iw.lastWritten).MarkDirty(now, statestore.PriorityLow)
}
