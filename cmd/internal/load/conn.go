package load

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
)

const (
	appendStatement = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = kv.value || excluded.value"
	readStatement   = "SELECT value FROM kv WHERE key = $1"
)

const closeTimeout = time.Second

// Conn is a session's connection, in one of the protocols that instances serve.
type Conn interface {
	// Append adds a value to the end of a key's content.
	Append(ctx context.Context, key, value string) error
	// Read returns a key's content, empty if there is none.
	Read(ctx context.Context, key string) (string, error)
	// Token returns the session token, empty if the protocol has none.
	Token() string
	// Closed reports whether the connection is no longer usable.
	Closed() bool
	Close()
}

// OpenFunc opens a connection to an instance. token is the session token of the
// previous connection, or empty.
type OpenFunc func(ctx context.Context, address string, account Account, token string) (Conn, error)

// OpenPostgres returns a function that opens PostgreSQL connections to a route.
func OpenPostgres(route string) OpenFunc {
	return func(ctx context.Context, address string, account Account, token string) (Conn, error) {
		conf, err := ConnConfig(address, route, account)
		if err != nil {
			return nil, err
		}
		if token != "" {
			conf.RuntimeParams[TokenParameter] = token
		}
		conn, err := pgx.ConnectConfig(ctx, conf)
		if err != nil {
			return nil, err
		}
		return &postgresConn{conn}, nil
	}
}

// ConnConfig returns the pgx configuration of a connection to address as an account.
func ConnConfig(address, database string, account Account) (*pgx.ConnConfig, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q is not IP:port", address)
	}
	conf, err := pgx.ParseConfig(fmt.Sprintf("host=%s port=%s sslmode=disable", host, port))
	if err != nil {
		return nil, errors.Wrap(err, "parse connection settings")
	}
	conf.User, conf.Password, conf.Database = account.Name, account.Key, database
	return conf, nil
}

type postgresConn struct {
	conn *pgx.Conn
}

func (c *postgresConn) Append(ctx context.Context, key, value string) error {
	_, err := c.conn.Exec(ctx, appendStatement, key, value)
	return err
}

func (c *postgresConn) Read(ctx context.Context, key string) (string, error) {
	var content string
	err := c.conn.QueryRow(ctx, readStatement, key).Scan(&content)
	if errors.Is(err, pgx.ErrNoRows) {
		err = nil
	}
	return content, err
}

func (c *postgresConn) Token() string {
	return c.conn.PgConn().ParameterStatus(TokenParameter)
}

func (c *postgresConn) Closed() bool {
	return c.conn.IsClosed()
}

func (c *postgresConn) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
}
