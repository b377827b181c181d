package pgfront

import (
	"strings"

	"github.com/galenabridge/galenabridge/internal/result"
)

// parseOptions parses the "options" field of a startup message and adds its run-time
// parameters to into. It accepts the forms "-c name=value", "-cname=value" and "--name=value". A
// backslash escapes the next character.
func parseOptions(text string, into map[string]string) error {
	words := splitOptions(text)
	for i := 0; i < len(words); i++ {
		word := words[i]
		var pair string
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			pair = words[i]
		case strings.HasPrefix(word, "-c"):
			pair = word[len("-c"):]
		case strings.HasPrefix(word, "--"):
			pair = word[len("--"):]
		}
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" {
			return result.New(result.MalformedMessage, "invalid option %q", word)
		}
		into[strings.ReplaceAll(name, "-", "_")] = value
	}
	return nil
}

// splitOptions splits text at unescaped white space.
func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	started := false
	end := func() {
		if started {
			words = append(words, word.String())
		}
		word.Reset()
		started = false
	}
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '\\' && i+1 < len(text):
			i++
			word.WriteByte(text[i])
			started = true
		case text[i] == ' ' || text[i] == '\t' || text[i] == '\n':
			end()
		default:
			word.WriteByte(text[i])
			started = true
		}
	}
	end()
	return words
}
