package local

import (
	"context"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
)

const (
	// readyTimeout limits the wait for a new deployment.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// URL returns the connection string for an account at an instance.
func (d *Deployment) URL(instance int, route, account string) string {
	u := url.URL{
		Scheme:   "postgres",
		User:     url.UserPassword(account, d.Key(account)),
		Host:     d.Instances[instance].Address,
		Path:     route,
		RawQuery: "sslmode=disable",
	}
	return u.String()
}

// awaitReady waits until a statement succeeds through every instance.
func (d *Deployment) awaitReady(ctx context.Context) error {
	if len(d.cfg.Routes) == 0 || len(d.Accounts) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	account := d.Accounts[0].Name
	for i := range d.Instances {
		if err := awaitStatement(ctx, d.URL(i, d.cfg.Routes[0].Name, account)); err != nil {
			return errors.Wrapf(err, "instance %s is not ready", d.Instances[i].ID)
		}
	}
	return nil
}

func awaitStatement(ctx context.Context, address string) error {
	for {
		err := tryStatement(ctx, address)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readyPollInterval):
		}
	}
}

func tryStatement(ctx context.Context, address string) error {
	conn, err := pgx.Connect(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('ready', '1') ON CONFLICT (key) DO UPDATE SET value = excluded.value")
	return err
}
