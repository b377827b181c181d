package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("host%d", i)
	}
	return all
}

func TestTopRemovedNameMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(2, 40).Draw(t, "names"))
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(1, len(all)).Draw(t, "n")
		lost := rapid.SampledFrom(all).Draw(t, "lost")
		rest := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == lost })
		before, after := Top(all, key, n), Top(rest, key, n)
		kept := slices.DeleteFunc(slices.Clone(before), func(name string) bool { return name == lost })
		if !slices.Equal(kept, after[:len(kept)]) {
			t.Fatalf("Top changed from %v to %v after removing %s", before, after, lost)
		}
		if Owner(all, key) != before[0] {
			t.Fatalf("owner is %s, want the first of %v", Owner(all, key), before)
		}
	})
}

func TestTopSpreadsKeysEvenly(t *testing.T) {
	all := names(20)
	count := map[string]int{}
	for i := range 20000 {
		for _, name := range Top(all, fmt.Sprint("key", i), 3) {
			count[name]++
		}
	}
	for _, name := range all {
		if count[name] < 2700 || count[name] > 3300 {
			t.Errorf("%s has %d of 60,000 assignments, want about 3,000", name, count[name])
		}
	}
}

func BenchmarkTop(b *testing.B) {
	all := names(2000)
	b.ReportAllocs()
	for b.Loop() {
		Top(all, "service", 4)
	}
}
