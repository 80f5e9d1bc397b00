package golden

import (
	"strings"
	"testing"
)

type inner struct {
	Count int `msgpack:"c" json:"c"`
}

type record struct {
	Name  string  `msgpack:"n" json:"n"`
	Inner []inner `msgpack:"i" json:"i"`
}

func TestDifferencesFromTheGoldenBytesAreReported(t *testing.T) {
	full := record{Name: "a", Inner: []inner{{Count: 1}}}
	for _, c := range []struct {
		name    string
		value   record
		bytes   string
		wantErr string // "": no error
	}{
		{"equal", full, "82a16ea161a1699181a16301", ""},
		{"different value", record{Name: "b", Inner: full.Inner}, "82a16ea161a1699181a16301", "is encoded as"},
		{"different field name", full, "82a178a161a1699181a16301", "is decoded as"},
		{"invalid hexadecimal", full, "8", "odd length"},
		{"unset field", record{Inner: full.Inner}, "82a16ea0a1699181a16301", "record.Name is not set"},
		{"empty slice", record{Name: "a", Inner: []inner{}}, "82a16ea161a16990", "record.Inner is empty"},
		{
			"unset field of an item",
			record{Name: "a", Inner: []inner{{}}},
			"82a16ea161a1699181a16300",
			"Inner[0].Count is not set",
		},
	} {
		err := Binary(c.value, c.bytes)
		if (err == nil) != (c.wantErr == "") || err != nil && !strings.Contains(err.Error(), c.wantErr) {
			t.Errorf("%s: error %v, want %q", c.name, err, c.wantErr)
		}
	}
	withoutList := record{Name: "a"}
	if err := Binary(withoutList, "82a16ea161a169c0", "golden.record.Inner"); err != nil {
		t.Errorf("unset field passed as absent: %v", err)
	}
	wrong := map[string]string{"set field": "golden.record.Name", "unknown field": "golden.record.X"}
	for name, absent := range wrong {
		if err := Binary(full, "82a16ea161a1699181a16301", absent); err == nil {
			t.Errorf("%s passed as absent: no error", name)
		}
	}
	if err := JSON(full, `{"n":"a","i":[{"c":1}]}`); err != nil {
		t.Error(err)
	}
	if err := JSON(full, `{"n":"a","i":[{"d":1}]}`); err == nil {
		t.Error("different field name in JSON: no error")
	}
}
