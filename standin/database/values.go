package database

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Format codes of the protocol.
const (
	formatText   = 0
	formatBinary = 1
)

// decodeParam returns the text form of a bound parameter. A nil parameter is NULL, which is rejected.
func decodeParam(raw []byte, oid uint32, format int16) (string, error) {
	if raw == nil {
		return "", newSQLError(codeInvalidParameter, "NULL parameters are not supported; bind a value")
	}
	if format == formatText || oid == oidText {
		return string(raw), nil
	}
	switch {
	case oid == oidInt8 && len(raw) == 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10), nil
	case oid == oidInt4 && len(raw) == 4:
		return strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(raw))), 10), nil
	case oid == oidFloat8 && len(raw) == 8:
		return strconv.FormatFloat(math.Float64frombits(binary.BigEndian.Uint64(raw)), 'g', -1, 64), nil
	}
	return "", newSQLError(codeInvalidParameter, "a binary parameter has the wrong length for its type")
}

// encodeValue returns the wire form of a column value given as text.
func encodeValue(text string, oid uint32, format int16) ([]byte, error) {
	if format == formatText || oid == oidText || oid == oidVoid {
		return []byte(text), nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, newSQLError(codeSystem, "a column value is not a number: "+text)
	}
	if oid == oidInt4 {
		return binary.BigEndian.AppendUint32(nil, uint32(n)), nil
	}
	return binary.BigEndian.AppendUint64(nil, uint64(n)), nil
}

// formatOf returns the format code of item i. A single code applies to all items; without codes all
// items are text.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return formatText
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return formatText
}

var typeSizes = map[uint32]int16{oidInt4: 4, oidInt8: 8, oidFloat8: 8, oidVoid: 4}

func describeRows(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		size, fixed := typeSizes[c.oid]
		if !fixed {
			size = -1
		}
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: size,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}
