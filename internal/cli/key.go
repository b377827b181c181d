package cli

import (
	"fmt"

	"github.com/galenabridge/galenabridge/internal/scramauth"
)

type keyNewCommand struct {
	Workspace string `long:"workspace" required:"yes" value-name:"NAME" description:"workspace that the key is for"`
}

// keyPair is a new key with its verifier.
type keyPair struct {
	Workspace string `json:"workspace"`
	// Key is the secret of the caller. It is not stored anywhere.
	Key string `json:"key"`
	// Verifier is the value for the key's entry in a release note.
	Verifier string `json:"verifier"`
}

func newKeyPair(workspace string) keyPair {
	key := scramauth.NewKey()
	return keyPair{Workspace: workspace, Key: key, Verifier: scramauth.Verifier(workspace, key)}
}

func (c *keyNewCommand) run(app *App) error {
	pair := newKeyPair(c.Workspace)
	_, err := fmt.Fprintf(app.Stdout, "key=%s\nverifier=%s\n", pair.Key, pair.Verifier)
	return err
}
