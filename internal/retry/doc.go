// Package retry decides whether a failed request may be sent again: retry and hedging budgets, a breaker
// per target, and the quarantine of requests that crash targets. It does no I/O, and callers pass in the time.
package retry
