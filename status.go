package figbank

import "net/http"

// IsFinalStatus reports whether a final answer may have this status (RFC 9110, section 15). An answer with another one proves
// nothing of whether its request ran.
func IsFinalStatus(status int) bool {
	const lastFinal = 599
	return http.StatusOK <= status && status <= lastFinal
}

// IsInformationalStatus reports whether a final answer follows a head with this status. No request of this project asks for
// another protocol, so that a switch to one is no answer.
func IsInformationalStatus(status int) bool {
	return http.StatusContinue <= status && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
