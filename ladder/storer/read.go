package storer

import "github.com/lycheeladder/lycheeladder/ladder/identifier"

// ReadPages reads a partition page by page and returns the newest record of each key and the
// partition's end at the first page. readPage returns the keys that follow the key after.
func ReadPages(readPage func(after string) (SnapshotPage, error)) (records []Record, end identifier.LogOffset, err error) {
	for after := ""; ; {
		page, err := readPage(after)
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			end = page.End
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return records, end, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
