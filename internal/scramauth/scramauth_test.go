package scramauth

import (
	"testing"

	"github.com/xdg-go/scram"
)

// login runs a whole exchange and returns the matched key.
func login(t *testing.T, key string, candidates []Candidate) (string, error) {
	t.Helper()
	client, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		t.Fatal(err)
	}
	peer := client.NewConversation()
	conv := NewConversation("osan-crew", candidates)
	first, err := peer.Step("")
	if err != nil {
		t.Fatal(err)
	}
	challenge, err := conv.First(first)
	if err != nil {
		t.Fatal(err)
	}
	proof, err := peer.Step(challenge)
	if err != nil {
		t.Fatal(err)
	}
	final, keyID, err := conv.Final(proof)
	if err != nil {
		return "", err
	}
	if _, err := peer.Step(final); err != nil || !peer.Valid() {
		t.Fatalf("the client refuses the server: %v", err)
	}
	return keyID, nil
}

func TestEachKeyOfAWorkspaceMatches(t *testing.T) {
	keys := []string{NewKey(), NewKey(), "pass word é"}
	var candidates []Candidate
	for i, key := range keys {
		candidates = append(candidates, Candidate{KeyID: string(rune('a' + i)), Verifier: Verifier("osan-crew", key)})
	}
	for i, key := range keys {
		got, err := login(t, key, candidates)
		if err != nil || got != candidates[i].KeyID {
			t.Errorf("key %d: matched %q, %v", i, got, err)
		}
	}
}

func TestWrongKeyAndUnknownWorkspaceAreRefused(t *testing.T) {
	candidates := []Candidate{{KeyID: "a", Verifier: Verifier("osan-crew", NewKey())}}
	if _, err := login(t, NewKey(), candidates); err != ErrNoKeyMatches {
		t.Errorf("wrong key: %v", err)
	}
	if _, err := login(t, NewKey(), nil); err != ErrNoKeyMatches {
		t.Errorf("unknown workspace: %v", err)
	}
}

func TestUnknownWorkspaceGetsTheSaltThatItsKeysWouldHave(t *testing.T) {
	const first = "n,,n=,r=abcdefghijkl"
	known := NewConversation("osan-crew", []Candidate{{KeyID: "a", Verifier: Verifier("osan-crew", NewKey())}})
	a, err := known.First(first)
	if err != nil {
		t.Fatal(err)
	}
	b, err := NewConversation("osan-crew", nil).First(first)
	if err != nil {
		t.Fatal(err)
	}
	if a[len(a)-30:] != b[len(b)-30:] {
		t.Errorf("salt and iterations differ: %q, %q", a, b)
	}
}

func TestParseVerifierRefusesBrokenText(t *testing.T) {
	good := Verifier("w", "k")
	if _, err := ParseVerifier(good); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", "md5abc", good[:len(good)-4], "SCRAM-SHA-256$1:c2FsdA==$a:b", good + "$"} {
		if _, err := ParseVerifier(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
