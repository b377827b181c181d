package result

import "testing"

func TestTableIsOrderedAndComplete(t *testing.T) {
	var last Code
	for _, info := range Table {
		if info.Code <= last {
			t.Errorf("code %d does not follow %d", info.Code, last)
		}
		last = info.Code
		if len(info.SQLState) != 5 || info.Name == "" || info.Meaning == "" || info.Action == "" {
			t.Errorf("code %d is incomplete: %+v", info.Code, info)
		}
	}
}
