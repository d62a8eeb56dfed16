package admitter

import (
	"net/http"
	"path"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// findRoute returns the route with the longest path prefix that matches.
func findRoute(profile fuchsiaspoke.Profile, method, target string) (fuchsiaspoke.Route, error) {
	clean, _, _ := strings.Cut(target, "?")
	clean = path.Clean("/" + clean)
	var best fuchsiaspoke.Route
	found := false
	for _, route := range profile.Routes {
		if route.Method != method || !hasPrefix(clean, route.PathPrefix) {
			continue
		}
		if !found || len(route.PathPrefix) > len(best.PathPrefix) {
			best = route
			found = true
		}
	}
	if found {
		return best, nil
	}
	return best, &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeNoRoute,
		Message: "profile " + profile.Name + " has no route for " + method + " " + clean,
		Run:     fuchsiaspoke.NotRun,
		Status:  http.StatusNotFound,
	}
}

func hasPrefix(target, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	if !strings.HasPrefix(target, prefix) {
		return false
	}
	rest := target[len(prefix):]
	return rest == "" || rest[0] == '/'
}
