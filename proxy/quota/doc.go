// Package quota admits statements against account limits that apply across all instances. It drives
// the state machines of decision/quota with calls between peers and to the platform's store.
//
// While tokens are available, Admit only locks one account shard and does not use the network. One
// goroutine maintains the instance's fractions in the store; admissions never call the store.
package quota
