package persist

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// imageWriteInterval is the interval between writes of the image records.
const imageWriteInterval = 20 * micro.Second

// ImageRecords are the records of the images cached on machines, which are a hint for the next
// leader. One value holds the images of about 200 machines. The first page holds the machines with
// most images; the other machines are on further pages, which are written only while the compact
// format is in use. Each round writes the first page and one further page in turn, so that the cost
// does not grow with the fleet.
type ImageRecords struct {
	records         *Records
	firstPage       *statestore.Record
	pages           map[int]*statestore.Record // further pages that the store may hold, by number
	lastWrittenPage int                        // the further page written last
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

// maxPageBytes returns the maximum size of a page: half of the maximum value size, because the size
// of a page is only estimated.
func (i *ImageRecords) maxPageBytes() int { return i.records.MaxValueBytes() / 2 }

// build returns the pages for the current images of the machines. There is at least one page.
func (i *ImageRecords) build() []cluster.ImageRecord {
	return i.records.cluster.ImagePages(i.maxPageBytes())
}

// Restore records the version of a page that was read in a failover.
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

// page returns the record of a further page, and creates it if there is none. Writing a page that is
// no longer needed deletes it.
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

// WriteIfDue schedules a write of the first page and one further page if 20 s have passed since the
// last one.
func (i *ImageRecords) WriteIfDue(now micro.Time) {
	if now-i.lastWrite >= imageWriteInterval {
		i.lastWrite = now
		i.writeNext(now)
	}
}

// writeNext schedules a write of the first page and of the next further page.
func (i *ImageRecords) writeNext(now micro.Time) {
	i.firstPage.MarkDirty(now, statestore.PriorityLow)
	if !i.records.cluster.CompactRecords {
		return // the previous release would not delete further pages
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
