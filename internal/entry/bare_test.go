package entry

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// bareClient is a logged-in caller without driver state: it keeps only its socket.
type bareClient struct{ net net.Conn }

// newBareClient connects and logs in with callerKey.
func newBareClient(t testing.TB, f *fixture) *bareClient {
	t.Helper()
	nc, err := net.Dial("tcp", f.server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	front := pgproto3.NewFrontend(nc, nc)
	front.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "crew", "database": testService},
	})
	client, err := scram.SHA256.NewClient("", callerKey, "")
	if err != nil {
		t.Fatal(err)
	}
	conv := client.NewConversation()
	for {
		if err := front.Flush(); err != nil {
			t.Fatal(err)
		}
		msg, err := front.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch msg := msg.(type) {
		case *pgproto3.AuthenticationSASL:
			first, _ := conv.Step("")
			front.Send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)})
		case *pgproto3.AuthenticationSASLContinue:
			proof, err := conv.Step(string(msg.Data))
			if err != nil {
				t.Fatal(err)
			}
			front.Send(&pgproto3.SASLResponse{Data: []byte(proof)})
		case *pgproto3.ErrorResponse:
			t.Fatal(msg.Message)
		case *pgproto3.ReadyForQuery:
			return &bareClient{net: nc}
		}
	}
}

func (c *bareClient) close() { _ = c.net.Close() }
