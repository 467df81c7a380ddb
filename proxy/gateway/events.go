package gateway

// Event numbers that this package logs in the field "event".
const (
	// EventServed: a statement was answered with a server's result.
	EventServed = "CYC-7001"
	// EventRefused: a statement was answered with an error.
	EventRefused = "CYC-7002"
	// EventNoAnswer: a server, or the instance that lends a connection to it, did not answer a statement.
	EventNoAnswer = "CYC-7003"
	// EventUnreachable: no connection to a server could be opened.
	EventUnreachable = "CYC-7004"
	// EventSessionRefused: a caller's session was refused.
	EventSessionRefused = "CYC-7005"
	// EventSessionBroken: a caller's connection failed.
	EventSessionBroken = "CYC-7006"
	// EventIdleTransaction: a transaction was rolled back because it was idle for too long.
	EventIdleTransaction = "CYC-7007"
	// EventAcceptFailed: a caller's connection could not be accepted.
	EventAcceptFailed = "CYC-7008"
	// EventRetried: a server refused a statement, which is tried again.
	EventRetried = "CYC-7009"
	// EventLinesDropped: log lines of an event were dropped because there were too many.
	EventLinesDropped = "CYC-7010"
	// EventLoanFailed: a statement of a borrowing instance got no answer, or no connection.
	EventLoanFailed = "CYC-7011"
	// EventPanic: a fault in the program ended one session or one statement.
	EventPanic = "CYC-7012"
	// EventAnswerWithheld: an answer is not acknowledged, because its server may have been replaced as the leader.
	EventAnswerWithheld = "CYC-7013"
	// EventColdBegan: a server has just started and gets few statements for a time.
	EventColdBegan = "CYC-7020"
	// EventColdEnded: the limit of EventColdBegan has ended.
	EventColdEnded = "CYC-7021"
	// EventColdLender: this instance has become the lender of a cold server.
	EventColdLender = "CYC-7022"
	// EventColdRefused: this instance, as the lender, refused a statement that would exceed the allowance of a cold server.
	EventColdRefused = "CYC-7023"
	// EventColdLenderLost: the lender of a cold server can't be used, so a statement was not sent there.
	EventColdLenderLost = "CYC-7024"
	// EventNotAtHome: a statement was refused because no server in its regions can run it.
	EventNotAtHome = "CYC-7025"
	// EventTransactionLeftHome: a transaction was rolled back because a new configuration does not allow its region any more.
	EventTransactionLeftHome = "CYC-7026"
	// EventTransactionUnauthorized: a transaction of an idle session was rolled back because its key was withdrawn or given to another
	// account, or this instance can't know.
	EventTransactionUnauthorized = "CYC-7027"
	// EventOverloaded: a server has been refusing statements for a second.
	EventOverloaded = "CYC-7030"
	// EventOverloadEnded: an overloaded server refuses no statements any more.
	EventOverloadEnded = "CYC-7031"
	// EventScheduling: this instance has begun to schedule all statements of a server.
	EventScheduling = "CYC-7032"
	// EventSchedulingEnded: this instance schedules the statements of a server no more.
	EventSchedulingEnded = "CYC-7033"
)
