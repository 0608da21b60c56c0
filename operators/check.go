package operators

import (
	"figbank/declaration"
	"figbank/keyfile"
	"figbank/ledger"
	"figbank/schema"
)

// checkOffer checks declarations once more: a client of another version may not
// have done so.
func checkOffer(offer *schema.Publish) string {
	if len(offer.GetDeclarations()) == 0 {
		return "nothing is declared"
	}
	for _, declared := range offer.GetDeclarations() {
		subject := ledger.Subject(declared)
		var detail string
		switch {
		case declared.GetService() != nil:
			detail = keyfile.Check(declared.GetService())
			if detail == "" {
				detail = declaration.CheckService(declared.GetService())
			}
		case declared.GetFailureDomain() != nil:
			detail = keyfile.Check(declared.GetFailureDomain())
		default:
			detail = "declaration of unknown kind"
		}
		if detail != "" {
			return subject + ": " + detail
		}
	}
	return ""
}
