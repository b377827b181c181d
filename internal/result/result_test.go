package result

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

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

func TestDocumentationMatchesTable(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "RESULTS", Markdown())
}
