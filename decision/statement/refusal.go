package statement

// refusal is the reason why a statement can't run on a shared connection, and what to do instead.
type refusal struct {
	message, remedy string
}

var (
	refusedTemporary = refusal{"temporary tables are not supported, because connections are shared",
		"use an ordinary or unlogged table, or a common table expression"}
	refusedWithHold = refusal{"cursors WITH HOLD are not supported, because connections are shared",
		"use the cursor inside a transaction"}
	refusedSQLPrepare = refusal{"PREPARE and EXECUTE as SQL are not supported, because connections are shared",
		"use the prepared statements of the driver (extended protocol)"}
	refusedTwoPhase = refusal{"two-phase commit is not supported, because a prepared transaction outlives its session",
		"use COMMIT"}
	refusedSessionRole = refusal{"roles can't be changed, because connections are shared",
		"use another client account or a transaction with SET LOCAL ROLE"}
	refusedCharacteristics = refusal{"SET SESSION CHARACTERISTICS is not supported, because connections are shared",
		"name the modes in BEGIN, or set default_transaction_read_only"}
	refusedReadOnlySetting = refusal{"transaction_read_only can't be set directly",
		"use SET TRANSACTION READ ONLY or READ WRITE"}
	refusedSessionLock = refusal{"session-level advisory locks are not supported, because connections are shared",
		"use pg_advisory_xact_lock inside a transaction"}
	refusedUnicodeName = refusal{"identifiers with Unicode escapes are not supported, because they hide their name",
		"write the identifier as UTF-8 text"}
	refusedSetConfig = refusal{"set_config is not supported, because connections are shared",
		"use SET LOCAL inside a transaction"}
)

var refusedFirstWords = map[string]refusal{
	"copy": {"COPY is not supported",
		"use INSERT with several rows, or load the data with a direct connection"},
	"listen": {"LISTEN is not supported, because connections are shared",
		"listen on a direct connection to the database"},
	"execute": refusedSQLPrepare,
	"load": {"LOAD is not supported, because connections are shared",
		"preload the library in the server's configuration"},
}

// sessionStateRefusal returns the refusal of the statement if the current token names something that
// would outlive the statement on its connection.
func (p *parser) sessionStateRefusal() (refusal, bool) {
	if !isName(p.tok.kind) {
		return refusal{}, false
	}
	name := p.word
	if p.tok.kind == tokenQuoted {
		name = p.text()
		if name[0] != '"' {
			return refusedUnicodeName, true
		}
		name = unquote(name)
	}
	if name == "pg_temp" {
		return refusedTemporary, true
	}
	if name == "set_config" {
		return refusedSetConfig, true
	}
	if _, found := sessionLocks[name]; found {
		return refusedSessionLock, true
	}
	return refusal{}, false
}
