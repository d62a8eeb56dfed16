package parser

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

// decodeBody reads the kind first, wherever it is in the body, because the type of the items depends on it.
func decodeBody(f *faults, body []byte) fuchsiaspoke.Content {
	var content fuchsiaspoke.Content
	if !checkSyntax(f, body) {
		return content
	}
	kind, ok := findKind(f, body)
	if !ok {
		return content
	}
	content.Kind = kind
	items := itemsTarget(&content)
	if items == nil {
		f.add("kind", "unknown kind %q", kind)
		return fuchsiaspoke.Content{}
	}
	newDecoder(f, body).decodeDocument(reflect.ValueOf(items).Elem())
	f.recordUndecodable()
	return content
}

func checkSyntax(f *faults, body []byte) bool {
	var value json.RawMessage
	err := json.Unmarshal(body, &value)
	if err == nil {
		return true
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		f.add("body", "is not valid JSON at byte %d: %v", syntax.Offset, err)
		return false
	}
	f.add("body", "is not valid JSON: %v", err)
	return false
}

// itemsTarget returns a pointer to the item list of the content's kind, or nil if the kind is unknown.
func itemsTarget(c *fuchsiaspoke.Content) any {
	switch c.Kind {
	case fuchsiaspoke.VMsDocument:
		return &c.VMs
	case fuchsiaspoke.UpstreamsDocument:
		return &c.Upstreams
	case fuchsiaspoke.ProfilesDocument:
		return &c.Profiles
	case fuchsiaspoke.AccountsDocument:
		return &c.Accounts
	case fuchsiaspoke.KeysDocument:
		return &c.Keys
	}
	return nil
}

// findKind returns the kind of the document. It reports the faults that it finds only if there is no kind; otherwise
// decodeDocument decodes the body again, with the item type of that kind, and reports them.
func findKind(f *faults, body []byte) (fuchsiaspoke.DocumentKind, bool) {
	kindFaults := &faults{document: f.document}
	d := newDecoder(kindFaults, body)
	kind := ""
	d.decodeObject(func(field []byte) {
		if string(field) == "kind" {
			d.decodeValue(reflect.ValueOf(&kind).Elem())
			return
		}
		d.nextValue()
	})
	if kind != "" {
		return fuchsiaspoke.DocumentKind(kind), true
	}
	if !kindFaults.has("kind") && !kindFaults.has("body") {
		kindFaults.add("kind", "is missing or empty")
	}
	f.list = kindFaults.list
	return "", false
}

// decoder decodes JSON of valid syntax into Go values by reflection and reports every fault. encoding/json is not used for
// this because it reports only the first type mismatch, matches field names without regard to case, and accepts
// duplicate fields.
type decoder struct {
	f *faults
	scanner
	path []byte
	// interned holds each decoded string once.
	interned map[string]string
	// fieldIndexes maps JSON names to struct fields, by type.
	fieldIndexes map[reflect.Type]map[string]int
}

func newDecoder(f *faults, body []byte) *decoder {
	return &decoder{
		f: f, scanner: scanner{body: body}, interned: map[string]string{}, fieldIndexes: map[reflect.Type]map[string]int{},
	}
}

func (d *decoder) decodeDocument(items reflect.Value) {
	found := map[string]bool{}
	d.decodeObject(func(name []byte) {
		field := string(name)
		switch {
		case field != "kind" && field != "items":
			d.addFault("unknown field")
		case found[field]:
			d.addFault("duplicate field")
		}
		found[field] = true
		if field == "items" {
			d.decodeArray(items)
			return
		}
		d.nextValue()
	})
	if !found["items"] {
		d.f.add("items", "is missing")
	}
}

func (d *decoder) decodeValue(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(v)
	case reflect.Slice:
		d.decodeArray(v)
	default:
		d.decodeScalar(v)
	}
}

func (d *decoder) decodeStruct(v reflect.Value) {
	indexByName := d.indexByName(v.Type())
	var seen uint64
	d.decodeObject(func(field []byte) {
		i, known := indexByName[string(field)]
		if !known {
			d.addFault("unknown field")
			d.nextValue()
			return
		}
		if seen&(1<<i) != 0 {
			d.addFault("duplicate field")
		}
		seen |= 1 << i
		d.decodeValue(v.Field(i))
	})
}

// decodeObject calls member for each field of an object, with the path and the scanner at the value. member must consume
// the value.
func (d *decoder) decodeObject(member func(field []byte)) {
	if d.peek() != '{' {
		d.addFault("must be an object")
		d.nextValue()
		return
	}
	for d.nextMember('}') {
		field := unquote(d.nextValue())
		d.skipColon()
		length := len(d.path)
		d.pushField(field)
		member(field)
		d.path = d.path[:length]
	}
}

func (d *decoder) decodeArray(v reflect.Value) {
	if d.peek() != '[' {
		d.addFault("must be an array")
		d.nextValue()
		return
	}
	n := d.countMembers()
	if n > 0 {
		v.Set(reflect.MakeSlice(v.Type(), n, n))
	}
	for i := 0; d.nextMember(']'); i++ {
		length := len(d.path)
		d.path = append(d.path, '[')
		d.path = strconv.AppendInt(d.path, int64(i), 10)
		d.path = append(d.path, ']')
		d.decodeValue(v.Index(i))
		d.path = d.path[:length]
	}
}

func (d *decoder) decodeScalar(v reflect.Value) {
	if !d.setScalar(v, d.nextValue()) {
		d.addFault("must be a " + typeName(v))
	}
}

func (d *decoder) setScalar(v reflect.Value, raw []byte) bool {
	switch v.Kind() {
	case reflect.String:
		return d.setString(v, raw)
	case reflect.Bool:
		v.SetBool(raw[0] == 't')
		return raw[0] == 't' || raw[0] == 'f'
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(string(raw), 10, 64)
		v.SetInt(n)
		return err == nil
	case reflect.Float64:
		x, err := strconv.ParseFloat(string(raw), 64)
		v.SetFloat(x)
		return err == nil
	}
	return false
}

// setString interns strings to save memory: thousands of profiles name the same base model and a few client accounts.
func (d *decoder) setString(v reflect.Value, raw []byte) bool {
	if raw[0] != '"' {
		return false
	}
	text := unquote(raw)
	shared, ok := d.interned[string(text)]
	if !ok {
		shared = string(text)
		d.interned[shared] = shared
	}
	v.SetString(shared)
	return true
}

// indexByName returns the index of each struct field by its JSON name, cached by type.
func (d *decoder) indexByName(t reflect.Type) map[string]int {
	if indexByName, ok := d.fieldIndexes[t]; ok {
		return indexByName
	}
	indexByName := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		indexByName[name] = i
	}
	d.fieldIndexes[t] = indexByName
	return indexByName
}

func (d *decoder) pushField(field []byte) {
	if len(d.path) > 0 {
		d.path = append(d.path, '.')
	}
	if len(field) == 0 {
		field = []byte(`""`)
	}
	d.path = append(d.path, field...)
}

// addFault reports a fault of the field at d.path, or of the body outside any field.
func (d *decoder) addFault(reason string) {
	field := string(d.path)
	if field == "" {
		field = "body"
	}
	d.f.add(field, "%s", reason)
}

func typeName(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Float64:
		return "number"
	}
	return "64-bit integer"
}
