package dbgroup

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// probeStatementName is the name of the prepared probe statement.
const probeStatementName = "cyclamenstile_probe"

// controlConn is a control connection that can be reused for later calls.
type controlConn struct {
	pgConn   *pgconn.PgConn
	prepared *pgconn.StatementDescription // nil until the first probe
	parser   stateParser
}

// probe probes with a prepared statement, which saves the server the parsing, and both sides the row
// description. It closes the connection on an error, since a statement that was prepared before its
// function was replaced keeps failing.
func (c *controlConn) probe(ctx context.Context) (authority.ServerState, error) {
	state, err := c.execute(ctx)
	if err != nil {
		c.close()
	}
	return state, err
}

func (c *controlConn) execute(ctx context.Context) (state authority.ServerState, err error) {
	if c.prepared == nil {
		if c.prepared, err = c.pgConn.Prepare(ctx, probeStatementName, probeStatement, nil); err != nil {
			return state, err
		}
	}
	rows := 0
	result := c.pgConn.ExecStatement(ctx, c.prepared, nil, nil, nil)
	for result.NextRow() {
		rows++
		state, err = c.parser.parse(result.Values())
	}
	if _, failure := result.Close(); failure != nil {
		return authority.ServerState{}, failure
	}
	if rows != 1 {
		return authority.ServerState{}, errRows(rows)
	}
	return state, err
}

func errRows(n int) error {
	return errors.Newf("the server answered a control call with %d rows instead of 1; check its version", n)
}

func (c *controlConn) close() {
	if c != nil {
		closeConn(c.pgConn)
	}
}
