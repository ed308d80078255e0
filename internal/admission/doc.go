// Package admission decides which waiting request runs next. Each service has a fair queue with a virtual
// token counter for each team, two priority classes, a limit on waiting requests, and deadlines. Slots and
// team limits are divided between the entry instances by the demand that they report to each other.
package admission
