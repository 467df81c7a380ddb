package statement

// harmless lists functions of pg_catalog that neither write nor keep state. A call of any other
// function makes a statement a Write.
var harmless = set(
	"abs", "age", "array_agg", "array_length", "array_to_string", "avg", "bool_and", "bool_or",
	"btrim", "cardinality", "ceil", "ceiling", "char_length", "coalesce", "concat", "concat_ws",
	"count", "current_database", "current_schema", "date_part", "date_trunc", "dense_rank",
	"every", "exp", "extract", "first_value", "floor", "format", "generate_series", "greatest",
	"initcap", "json_agg", "json_build_object", "jsonb_agg", "jsonb_build_object", "lag",
	"last_value", "lead", "least", "left", "length", "lower", "lpad", "ltrim", "make_date", "max",
	"md5", "min", "mod", "now", "ntile", "nullif", "octet_length", "overlay", "percentile_cont",
	"percentile_disc", "position", "power", "rank", "regexp_replace", "repeat", "replace",
	"reverse", "right", "round", "row_number", "row_to_json", "rpad", "rtrim", "sign",
	"split_part", "sqrt", "stddev", "string_agg", "strpos", "substr", "substring", "sum",
	"to_char", "to_date", "to_json", "to_jsonb", "to_number", "to_timestamp", "trim", "trunc",
	"unnest", "upper", "variance", "version", "width_bucket", "pg_is_in_recovery", "pg_sleep",
)

// beforeParenthesis lists key words and type names that an opening parenthesis may follow
// without being a function call.
var beforeParenthesis = set(
	"all", "and", "any", "array", "as", "between", "by", "case", "cast", "char", "character",
	"cross", "cube", "decimal", "distinct", "else", "except", "exists", "explain", "fetch",
	"filter", "from", "group", "grouping", "having", "ilike", "in", "intersect", "interval",
	"is", "join", "lateral", "like", "limit", "materialized", "not", "numeric", "offset", "on",
	"or", "order", "over", "returning", "rollup", "row", "select", "sets", "similar", "some",
	"table", "then", "time", "timestamp", "union", "using", "values", "varchar", "varying",
	"when", "where", "with", "within",
)

// modifying lists words that make a statement starting with SELECT, WITH, VALUES, TABLE or
// EXPLAIN a Write wherever they stand.
var modifying = set("insert", "update", "delete", "merge", "into", "create", "declare",
	"execute", "refresh", "call")

// sessionLocks lists advisory lock functions whose lock outlives a transaction.
var sessionLocks = set(
	"pg_advisory_lock", "pg_advisory_lock_shared", "pg_try_advisory_lock",
	"pg_try_advisory_lock_shared", "pg_advisory_unlock", "pg_advisory_unlock_shared",
	"pg_advisory_unlock_all",
)

// certainWrites lists first words of statements that are never reads.
var certainWrites = set("insert", "update", "delete", "merge", "truncate", "create", "alter",
	"drop", "grant", "revoke", "comment", "refresh", "reindex", "cluster", "vacuum", "import",
	"security", "reassign", "call", "do")

// controlWords lists the other words that the classification compares with.
var controlWords = set("begin", "start", "commit", "end", "rollback", "abort", "savepoint",
	"release", "set", "reset", "discard", "deallocate", "unlisten", "prepare", "prepared", "show",
	"read", "only", "write", "work", "transaction", "to", "temp", "temporary", "table", "view",
	"sequence", "hold", "local", "constraints", "role", "authorization", "session",
	"characteristics", "names", "zone", "default", "for", "share", "no", "key", "pg_temp",
	"set_config", "pg_catalog", "copy", "listen", "load", "explain", "if")

// known maps every word of the lists to one shared string, so that folding a word to lower case
// needs no allocation.
var known = union(harmless, beforeParenthesis, modifying, sessionLocks, certainWrites, controlWords)

func union(sets ...map[string]struct{}) map[string]string {
	all := make(map[string]string)
	for _, s := range sets {
		for w := range s {
			all[w] = w
		}
	}
	return all
}

func set(words ...string) map[string]struct{} {
	m := make(map[string]struct{}, len(words))
	for _, w := range words {
		m[w] = struct{}{}
	}
	return m
}
