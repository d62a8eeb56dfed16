package admitter

import (
	"net/http"
	"path"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// findRoute returns the profile's route for the method with the longest matching path prefix.
func findRoute(profile fuchsiaspoke.Profile, method, requestPath string) (fuchsiaspoke.ProfileRoute, error) {
	cleaned, _, _ := strings.Cut(requestPath, "?")
	cleaned = path.Clean("/" + cleaned)
	var best fuchsiaspoke.ProfileRoute
	found := false
	for _, route := range profile.Routes {
		if route.Method != method || !hasPathPrefix(cleaned, route.PathPrefix) {
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
		Message: "profile " + profile.Name + " has no route for " + method + " " + cleaned,
		Run:     fuchsiaspoke.NotRun,
		Status:  http.StatusNotFound,
	}
}

// hasPathPrefix reports whether prefix matches requestPath on a segment boundary.
func hasPathPrefix(requestPath, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	if !strings.HasPrefix(requestPath, prefix) {
		return false
	}
	rest := requestPath[len(prefix):]
	return rest == "" || rest[0] == '/'
}
