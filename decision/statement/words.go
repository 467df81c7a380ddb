package statement

// safeFunctions lists functions of pg_catalog that neither write nor change session state. A statement
// that calls any other function is a Write.
var safeFunctions = newWordSet(
	"abs", "age", "array_agg", "array_append", "array_cat", "array_length", "array_lower",
	"array_ndims", "array_position", "array_prepend", "array_remove", "array_replace",
	"array_to_string", "array_upper", "ascii", "avg", "bit_and", "bit_length", "bit_or", "bool_and",
	"bool_or", "btrim", "cardinality", "ceil", "ceiling", "char_length", "chr", "clock_timestamp",
	"coalesce", "col_description", "concat", "concat_ws", "convert_from", "convert_to", "corr",
	"count", "cume_dist", "current_database", "current_schema", "current_schemas",
	"current_setting", "date", "date_part", "date_trunc", "decode", "degrees", "dense_rank",
	"encode", "every", "exp", "extract", "first_value", "floor", "format", "format_type",
	"gen_random_uuid", "generate_series", "generate_subscripts", "greatest", "has_schema_privilege",
	"has_table_privilege", "initcap", "isfinite", "json_agg", "json_array_elements",
	"json_array_elements_text", "json_array_length", "json_build_array", "json_build_object",
	"json_each", "json_each_text", "json_extract_path", "json_extract_path_text", "json_object_agg",
	"json_object_keys", "json_typeof", "jsonb_agg", "jsonb_array_elements",
	"jsonb_array_elements_text", "jsonb_array_length", "jsonb_build_array", "jsonb_build_object",
	"jsonb_each", "jsonb_each_text", "jsonb_extract_path", "jsonb_extract_path_text",
	"jsonb_object_agg", "jsonb_object_keys", "jsonb_path_exists", "jsonb_path_query",
	"jsonb_pretty", "jsonb_set", "jsonb_strip_nulls", "jsonb_typeof", "justify_days",
	"justify_hours", "justify_interval", "lag", "last_value", "lead", "least", "left", "length",
	"ln", "log", "lower", "lpad", "ltrim", "make_date", "make_interval", "make_time",
	"make_timestamp", "make_timestamptz", "max", "md5", "min", "mod", "mode", "now", "nth_value",
	"ntile", "nullif", "num_nonnulls", "num_nulls", "obj_description", "octet_length", "overlay",
	"percent_rank", "percentile_cont", "percentile_disc", "pg_backend_pid", "pg_encoding_to_char",
	"pg_get_constraintdef", "pg_get_expr", "pg_get_indexdef", "pg_get_userbyid", "pg_get_viewdef",
	"pg_is_in_recovery", "pg_sleep", "pg_table_is_visible", "pg_typeof", "pi", "plainto_tsquery",
	"position", "power", "quote_ident", "quote_literal", "quote_nullable", "radians", "random",
	"rank", "regexp_match", "regexp_matches", "regexp_replace", "regexp_split_to_array",
	"regexp_split_to_table", "repeat", "replace", "reverse", "right", "round", "row_number",
	"row_to_json", "rpad", "rtrim", "sign", "split_part", "sqrt", "starts_with",
	"statement_timestamp", "stddev", "stddev_pop", "stddev_samp", "string_agg", "string_to_array",
	"strpos", "substr", "substring", "sum", "to_char", "to_date", "to_json", "to_jsonb",
	"to_number", "to_timestamp", "to_tsquery", "to_tsvector", "transaction_timestamp", "translate",
	"trim", "trunc", "ts_rank", "unistr", "unnest", "upper", "var_pop", "var_samp", "variance",
	"version", "websearch_to_tsquery", "width_bucket",
)

// nonFunctionWords lists keywords and type names that are not function calls when an opening
// parenthesis follows.
var nonFunctionWords = newWordSet(
	"all", "and", "any", "array", "as", "between", "by", "case", "cast", "char", "character",
	"cross", "cube", "decimal", "distinct", "else", "except", "exists", "explain", "fetch",
	"filter", "from", "group", "grouping", "having", "ilike", "in", "intersect", "interval",
	"is", "join", "lateral", "like", "limit", "materialized", "not", "numeric", "offset", "on",
	"or", "order", "over", "returning", "rollup", "row", "select", "sets", "similar", "some",
	"table", "then", "time", "timestamp", "union", "using", "values", "varchar", "varying",
	"when", "where", "with", "within",
)

// writeWords lists words that, anywhere in a statement that starts with SELECT, WITH, VALUES, TABLE or
// EXPLAIN, make it a Write.
var writeWords = newWordSet("insert", "update", "delete", "merge", "into", "create", "declare",
	"execute", "refresh", "call")

// sessionLocks lists the functions for session-level advisory locks, which outlive a transaction.
var sessionLocks = newWordSet(
	"pg_advisory_lock", "pg_advisory_lock_shared", "pg_try_advisory_lock",
	"pg_try_advisory_lock_shared", "pg_advisory_unlock", "pg_advisory_unlock_shared",
	"pg_advisory_unlock_all",
)

// writeFirstWords lists the first words of statements that are always writes.
var writeFirstWords = newWordSet("insert", "update", "delete", "merge", "truncate", "create", "alter",
	"drop", "grant", "revoke", "comment", "refresh", "reindex", "cluster", "vacuum", "import",
	"security", "reassign", "call", "do")

// otherWords lists the remaining words that the classifier compares with.
var otherWords = newWordSet("begin", "start", "commit", "end", "rollback", "abort", "savepoint",
	"release", "set", "reset", "discard", "deallocate", "unlisten", "prepare", "prepared", "show",
	"read", "only", "write", "work", "transaction", "to", "temp", "temporary", "table", "view",
	"sequence", "hold", "local", "constraints", "role", "authorization", "session",
	"characteristics", "names", "zone", "default", "for", "share", "no", "key", "pg_temp",
	"set_config", "pg_catalog", "copy", "listen", "load", "explain", "if")

// internedWords maps each listed word to its shared string, so that foldWord does not allocate.
var internedWords = internWords(safeFunctions, nonFunctionWords, writeWords, sessionLocks, writeFirstWords, otherWords)

func internWords(sets ...map[string]struct{}) map[string]string {
	all := make(map[string]string)
	for _, s := range sets {
		for w := range s {
			all[w] = w
		}
	}
	return all
}

func newWordSet(words ...string) map[string]struct{} {
	m := make(map[string]struct{}, len(words))
	for _, w := range words {
		m[w] = struct{}{}
	}
	return m
}
