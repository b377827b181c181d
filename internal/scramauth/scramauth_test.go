package scramauth

import (
	"testing"

	"github.com/xdg-go/scram"
)

// login runs a complete exchange and returns the ID of the matching key.
func login(t *testing.T, key string, candidates []Candidate) (string, error) {
	t.Helper()
	client, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		t.Fatal(err)
	}
	clientConv := client.NewConversation()
	conv := NewConversation("osan-crew", candidates)
	first, err := clientConv.Step("")
	if err != nil {
		t.Fatal(err)
	}
	challenge, err := conv.First(first)
	if err != nil {
		t.Fatal(err)
	}
	proof, err := clientConv.Step(challenge)
	if err != nil {
		t.Fatal(err)
	}
	final, keyID, err := conv.Final(proof)
	if err != nil {
		return "", err
	}
	if _, err := clientConv.Step(final); err != nil || !clientConv.Valid() {
		t.Fatalf("the client rejects the server: %v", err)
	}
	return keyID, nil
}

func TestConversationMatchesEachKeyOfWorkspace(t *testing.T) {
	keys := []string{NewKey(), NewKey(), "pass word é"}
	var candidates []Candidate
	for i, key := range keys {
		candidates = append(candidates, Candidate{KeyID: string(rune('a' + i)), Verifier: Verifier("osan-crew", key)})
	}
	for i, key := range keys {
		got, err := login(t, key, candidates)
		if err != nil || got != candidates[i].KeyID {
			t.Errorf("key %d: matched %q instead of its own ID: %v", i, got, err)
		}
	}
}

func TestConversationRefusesWrongKeyAndUnknownWorkspace(t *testing.T) {
	candidates := []Candidate{{KeyID: "a", Verifier: Verifier("osan-crew", NewKey())}}
	if _, err := login(t, NewKey(), candidates); err != ErrNoKeyMatches {
		t.Errorf("wrong key: got error %v, want ErrNoKeyMatches", err)
	}
	if _, err := login(t, NewKey(), nil); err != ErrNoKeyMatches {
		t.Errorf("unknown workspace: got error %v, want ErrNoKeyMatches", err)
	}
}

// TestConversationUnknownWorkspaceGetsSameSalt compares the ends of two first replies, which
// hold the salt and iteration count. A difference would reveal whether a workspace exists.
func TestConversationUnknownWorkspaceGetsSameSalt(t *testing.T) {
	const first = "n,,n=,r=abcdefghijkl"
	known := NewConversation("osan-crew", []Candidate{{KeyID: "a", Verifier: Verifier("osan-crew", NewKey())}})
	knownReply, err := known.First(first)
	if err != nil {
		t.Fatal(err)
	}
	unknownReply, err := NewConversation("osan-crew", nil).First(first)
	if err != nil {
		t.Fatal(err)
	}
	if knownReply[len(knownReply)-30:] != unknownReply[len(unknownReply)-30:] {
		t.Errorf("salt and iterations differ: %q, %q", knownReply, unknownReply)
	}
}

func TestParseVerifierRejectsMalformedText(t *testing.T) {
	valid := Verifier("w", "k")
	if _, err := ParseVerifier(valid); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", "md5abc", valid[:len(valid)-4], "SCRAM-SHA-256$1:c2FsdA==$a:b", valid + "$"} {
		if _, err := ParseVerifier(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
