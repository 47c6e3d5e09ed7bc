// Package request holds what lives for one request: its outcome, its
// deadline, the headers that carry both from hop to hop, and the budgets that
// bound further attempts.
//
// Nothing in this package does I/O. Time and random numbers are arguments.
package request
