package operators

import (
	"figbank/declaration"
	"figbank/inifile"
	"figbank/ledger"
	"figbank/schema"
)

// checkDeclarations validates declarations on the gateway, because a client of
// another version may not apply the same rules. It returns a description of the
// first problem, or "" if there is none.
func checkDeclarations(publish *schema.Publish) string {
	if len(publish.GetDeclarations()) == 0 {
		return "nothing is declared"
	}
	for _, declared := range publish.GetDeclarations() {
		subject := ledger.Subject(declared)
		var detail string
		switch {
		case declared.GetService() != nil:
			detail = inifile.Check(declared.GetService())
			if detail == "" {
				detail = declaration.CheckService(declared.GetService())
			}
		case declared.GetFailureDomain() != nil:
			detail = inifile.Check(declared.GetFailureDomain())
		default:
			detail = "declaration of unknown kind"
		}
		if detail != "" {
			return subject + ": " + detail
		}
	}
	return ""
}
