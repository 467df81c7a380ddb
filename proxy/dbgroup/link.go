package dbgroup

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// probeStatementName names the probe statement of a kept connection.
const probeStatementName = "cyclamenstile_probe"

// controlConn is a control connection that is kept between calls.
type controlConn struct {
	pgConn   *pgconn.PgConn
	prepared *pgconn.StatementDescription // nil until the first probe
	parser   stateParser
}

// probe probes with a prepared statement, which spares the server its parsing and both ends the
// description of the row. A failure closes the connection, since a statement that was prepared before
// the function was replaced fails for good.
func (l *controlConn) probe(ctx context.Context) (authority.ServerState, error) {
	state, err := l.execute(ctx)
	if err != nil {
		l.close()
	}
	return state, err
}

func (l *controlConn) execute(ctx context.Context) (state authority.ServerState, err error) {
	if l.prepared == nil {
		if l.prepared, err = l.pgConn.Prepare(ctx, probeStatementName, probeStatement, nil); err != nil {
			return state, err
		}
	}
	rows := 0
	result := l.pgConn.ExecStatement(ctx, l.prepared, nil, nil, nil)
	for result.NextRow() {
		rows++
		state, err = l.parser.parse(result.Values())
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

func (l *controlConn) close() {
	if l != nil {
		closeConn(l.pgConn)
	}
}
