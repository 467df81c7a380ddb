package asynclog

// EventLinesDropped: log lines were dropped because the output is too slow.
const EventLinesDropped = "CYC-6022"
