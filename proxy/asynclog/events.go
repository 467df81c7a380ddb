package asynclog

// EventLinesDropped is the number of the event that log lines were dropped because the output did not take them.
const EventLinesDropped = "CYC-6022"
