package cli

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/standin"
)

type standinCommand struct {
	Service          string        `long:"service" required:"yes" value-name:"NAME" description:"database group"`
	ID               string        `long:"id" required:"yes" value-name:"NAME" description:"identity of the endpoint"`
	Domain           string        `long:"domain" required:"yes" value-name:"NAME" description:"failure domain"`
	Listen           string        `long:"listen" default:"127.0.0.1:0" value-name:"IP:PORT" description:"address for hosts and replicas"`
	Advertise        string        `long:"advertise" value-name:"IP:PORT" description:"address that is announced; the one listened on when left out"`
	Role             string        `long:"role" choice:"primary" choice:"replica" default:"replica" description:"role at the first start"`
	Upstream         string        `long:"upstream" value-name:"IP:PORT" description:"primary to follow until an announcement names another"`
	User             string        `long:"user" default:"galenabridge" description:"user that is accepted"`
	Password         string        `long:"password" env:"GALENABRIDGE_STANDIN_PASSWORD" description:"password that is accepted; none when left out"`
	Database         string        `long:"database" default:"ledger" description:"database that is accepted"`
	Connections      int           `long:"connections" default:"100" description:"cap on connections"`
	ConnectDelay     time.Duration `long:"connect-delay" default:"10ms" description:"time that opening a connection takes"`
	ReplicationDelay time.Duration `long:"replication-delay" default:"1ms" description:"time from a commit to its flush on a replica"`
	Lag              time.Duration `long:"lag" default:"20ms" description:"time from the flush of a transaction to its replay"`
	Admins           []string      `long:"announce" value-name:"IP:PORT" description:"admin address that takes announcements; may be repeated"`
	Control          string        `long:"control" value-name:"IP:PORT" description:"HTTP address of the fault switches"`
	DataDir          string        `long:"data-dir" value-name:"DIR" description:"folder for the log; kept in memory when left out"`
	Records          bool          `long:"records" description:"create the table records"`
	LogLevel         string        `long:"log-level" default:"info" description:"debug, info, warn or error"`
}

func (c *standinCommand) run(app *App) error {
	logger, err := newLogger(app.Stderr, c.LogLevel)
	if err != nil {
		return err
	}
	server, err := standin.New(standin.Options{
		Service: c.Service, ID: c.ID, Domain: c.Domain,
		Listen: c.Listen, Advertise: c.Advertise,
		Role: standin.Role(c.Role), Upstream: c.Upstream,
		User: c.User, Password: c.Password, Database: c.Database,
		MaxConnections: c.Connections, ConnectDelay: noDelayIfZero(c.ConnectDelay),
		ReplicationDelay: noDelayIfZero(c.ReplicationDelay), ReplayLag: noDelayIfZero(c.Lag),
		Admins: c.Admins, Control: c.Control, DataDir: c.DataDir,
		RecordsTable: c.Records, Logger: logger,
	})
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	ctx, stop := signalContext()
	defer stop()
	return server.Run(ctx)
}

// noDelayIfZero returns -1 for zero. In standin.Options a negative delay means none,
// whereas zero selects the default.
func noDelayIfZero(d time.Duration) time.Duration {
	if d == 0 {
		return -1
	}
	return d
}
