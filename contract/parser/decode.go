package parser

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

// decodeBody reads the kind first, wherever it stands, and then the items as that kind's type.
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
	items := itemsOf(&content)
	if items == nil {
		f.add("kind", "unknown kind %q", kind)
		return fuchsiaspoke.Content{}
	}
	newDecoder(f, body).document(reflect.ValueOf(items).Elem())
	f.decoded()
	return content
}

func checkSyntax(f *faults, body []byte) bool {
	var whole json.RawMessage
	err := json.Unmarshal(body, &whole)
	if err == nil {
		return true
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		f.add("body", "is not JSON at byte %d: %v", syntax.Offset, err)
		return false
	}
	f.add("body", "is not JSON: %v", err)
	return false
}

func itemsOf(c *fuchsiaspoke.Content) any {
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

// findKind keeps the faults that it meets only if there is no kind, since the items are read anew otherwise.
func findKind(f *faults, body []byte) (fuchsiaspoke.DocumentKind, bool) {
	found := &faults{document: f.document}
	d := newDecoder(found, body)
	kind := ""
	d.object(func(field []byte) {
		if string(field) == "kind" {
			d.value(reflect.ValueOf(&kind).Elem())
			return
		}
		d.raw()
	})
	if kind != "" {
		return fuchsiaspoke.DocumentKind(kind), true
	}
	if !found.has("kind") && !found.has("body") {
		found.add("kind", "is missing or empty")
	}
	f.list = found.list
	return "", false
}

// decoder walks valid JSON and Go types side by side, because encoding/json stops at the first fault,
// ignores the case of names and takes the last of two equal ones.
type decoder struct {
	f *faults
	scanner
	path    []byte
	strings map[string]string
	fields  map[reflect.Type]map[string]int
}

func newDecoder(f *faults, body []byte) *decoder {
	return &decoder{
		f: f, scanner: scanner{body: body}, strings: map[string]string{}, fields: map[reflect.Type]map[string]int{},
	}
}

func (d *decoder) document(items reflect.Value) {
	found := map[string]bool{}
	d.object(func(name []byte) {
		field := string(name)
		switch {
		case field != "kind" && field != "items":
			d.fault("unknown field")
		case found[field]:
			d.fault("stands twice")
		}
		found[field] = true
		if field == "items" {
			d.list(items)
			return
		}
		d.raw()
	})
	if !found["items"] {
		d.f.add("items", "is missing")
	}
}

func (d *decoder) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		d.structure(v)
	case reflect.Slice:
		d.list(v)
	default:
		d.scalar(v)
	}
}

func (d *decoder) structure(v reflect.Value) {
	names := d.names(v.Type())
	var seen uint64
	d.object(func(field []byte) {
		i, known := names[string(field)]
		if !known {
			d.fault("unknown field")
			d.raw()
			return
		}
		if seen&(1<<i) != 0 {
			d.fault("stands twice")
		}
		seen |= 1 << i
		d.value(v.Field(i))
	})
}

// object calls member for each name in an object, with the path and the scanner at the value.
func (d *decoder) object(member func(field []byte)) {
	if d.peek() != '{' {
		d.fault("must be an object")
		d.raw()
		return
	}
	for d.enter('}') {
		field := unquote(d.raw())
		d.colon()
		length := len(d.path)
		d.push(field)
		member(field)
		d.path = d.path[:length]
	}
}

func (d *decoder) list(v reflect.Value) {
	if d.peek() != '[' {
		d.fault("must be a list")
		d.raw()
		return
	}
	n := d.count()
	if n > 0 {
		v.Set(reflect.MakeSlice(v.Type(), n, n))
	}
	for i := 0; d.enter(']'); i++ {
		length := len(d.path)
		d.path = append(d.path, '[')
		d.path = strconv.AppendInt(d.path, int64(i), 10)
		d.path = append(d.path, ']')
		d.value(v.Index(i))
		d.path = d.path[:length]
	}
}

func (d *decoder) scalar(v reflect.Value) {
	if !d.set(v, d.raw()) {
		d.fault("must be a " + typeName(v))
	}
}

func (d *decoder) set(v reflect.Value, raw []byte) bool {
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

// setString shares equal strings, since thousands of profiles name one model and few client accounts.
func (d *decoder) setString(v reflect.Value, raw []byte) bool {
	if raw[0] != '"' {
		return false
	}
	text := unquote(raw)
	shared, ok := d.strings[string(text)]
	if !ok {
		shared = string(text)
		d.strings[shared] = shared
	}
	v.SetString(shared)
	return true
}

func (d *decoder) names(t reflect.Type) map[string]int {
	if names, ok := d.fields[t]; ok {
		return names
	}
	names := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		names[name] = i
	}
	d.fields[t] = names
	return names
}

func (d *decoder) push(field []byte) {
	if len(d.path) > 0 {
		d.path = append(d.path, '.')
	}
	if len(field) == 0 {
		field = []byte(`""`)
	}
	d.path = append(d.path, field...)
}

func (d *decoder) fault(reason string) {
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
	return "whole number of 64 bits"
}
