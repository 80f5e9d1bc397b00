package persist

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// imageWriteInterval is how often a page or two of the machines' images are written.
const imageWriteInterval = 20 * micro.Second

// ImageRecords are the records of the machines' images, kept as a hint for the next leader.
// One value holds those of some 200 machines; the machines that have most are in the first
// page, the others follow in further ones, which are written in the compact form only. Each
// round writes the first page and one of the others in turn, so that the cost does not grow
// with the fleet.
type ImageRecords struct {
	records         *Records
	firstPage       *statestore.Record
	pages           map[int]*statestore.Record // the further pages that the store may hold
	lastWrittenPage int                        // the further page that was written last
	lastWrite       micro.Time
}

func newImageRecords(records *Records) *ImageRecords {
	images := &ImageRecords{
		records:   records,
		firstPage: records.Record(keys.Images),
		pages:     map[int]*statestore.Record{},
	}
	images.firstPage.Build = func() (any, uint64) { return images.build()[0], 0 }
	return images
}

// maxPageBytes is what a page may take: half of a value, since its size is estimated.
func (i *ImageRecords) maxPageBytes() int { return i.records.MaxValueBytes() / 2 }

// build makes the pages as the machines are now: one at least.
func (i *ImageRecords) build() []cluster.ImageRecord {
	return i.records.cluster.ImagePages(i.maxPageBytes())
}

// Restore notes a page that was read in a failover.
func (i *ImageRecords) Restore(item wire.Item) {
	page, ok := keys.ParseImagePage(item.Key)
	switch {
	case !ok:
	case page == 0:
		i.firstPage.SetVersion(uint64(item.Version))
	default:
		i.page(page).SetVersion(uint64(item.Version))
	}
}

// page finds or makes the record of a further page. One that is needed no more is deleted.
func (i *ImageRecords) page(page int) *statestore.Record {
	record := i.pages[page]
	if record != nil {
		return record
	}
	record = i.records.Record(keys.ImagePage(page))
	record.Build = func() (any, uint64) {
		if pages := i.build(); page < len(pages) {
			return pages[page], 0
		}
		delete(i.pages, page)
		return nil, 0
	}
	i.pages[page] = record
	return record
}

// WriteIfDue writes the first page and one of the others, every 20 s.
func (i *ImageRecords) WriteIfDue(now micro.Time) {
	if now-i.lastWrite >= imageWriteInterval {
		i.lastWrite = now
		i.writeNext(now)
	}
}

// writeNext writes the first page, and one of the others.
func (i *ImageRecords) writeNext(now micro.Time) {
	i.firstPage.MarkDirty(now, statestore.PriorityLow)
	if !i.records.cluster.CompactRecords {
		return // the version before would not delete them
	}
	last := len(i.build()) - 1
	for page := range i.pages {
		last = max(last, page)
	}
	if last == 0 {
		return
	}
	i.lastWrittenPage = i.lastWrittenPage%last + 1
	i.page(i.lastWrittenPage).MarkDirty(now, statestore.PriorityLow)
}
