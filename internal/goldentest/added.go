package goldentest

import "reflect"

// addedFields are the fields whose keys were added after the golden files were written. The program
// omits these keys if their values are zero, so that values of earlier versions keep their encodings.
var addedFields = map[string]bool{
	"simproto.Tenant.Name":              true,
	"httpfront.Counters.UnknownTenants": true,
}

// IsAdded reports whether a field of a struct was added after the golden files were written: the
// files do not have its key.
func IsAdded(structValue reflect.Value, field string) bool {
	return addedFields[structValue.Type().String()+"."+field]
}
