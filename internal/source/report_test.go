package source

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const checkedConfigText = `{"version":3,"resources":[
 {"resource_kind":"services","metadata":{"name":"one"},"specification":{}},
 {"resource_kind":"services","metadata":{"name":"idle"},"specification":{}},
 {"resource_kind":"routes","metadata":{"name":"a"},"specification":{"host":"h","prefix":"/a/","kind":"safe","timeout":"1s","target_latency":"2s","service":"one"}},
 {"resource_kind":"routes","metadata":{"name":"b"},"specification":{"host":"h","prefix":"/a/","kind":"safe","timeout":"1s","service":"one"}},
 {"resource_kind":"routes","metadata":{"name":"c"},"specification":{"host":"h","prefix":"/c/","kind":"safe","timeout":"1s","service":"missing"}},
 {"resource_kind":"tenants","metadata":{"name":"first"},"specification":{"api_keys":["k"],"burst":3}},
 {"resource_kind":"tenants","metadata":{"name":"second"},"specification":{"api_keys":["k"]}},
 {"resource_kind":"colours","metadata":{"name":"x"},"specification":{}}]}`

// Guards against configurations that are sent although nodes would leave out a part of them.
func TestCheckConfig(t *testing.T) {
	findings, err := CheckConfig([]byte(checkedConfigText))
	require.NoError(t, err)
	severities := map[string]string{}
	for _, f := range findings {
		severities[f.Path] = f.Severity
		require.NotContains(t, f.Message, `"k"`)
	}
	require.Equal(t, map[string]string{
		"":                              SeverityError,
		"/teams/mesh/services/idle":     SeverityWarning,
		"/teams/mesh/routes/a":          SeverityWarning,
		"/teams/mesh/routes/b":          SeverityError,
		"/teams/mesh/routes/c":          SeverityError,
		"/teams/mesh/workspaces/first":  SeverityWarning,
		"/teams/mesh/workspaces/second": SeverityError,
	}, severities)
	_, err = CheckConfig([]byte("{"))
	require.Error(t, err)
}

func TestDiffConfigs(t *testing.T) {
	differences, err := DiffConfigs([]byte(checkedConfigText), []byte(`{"version":4,"resources":[
 {"resource_kind":"services","metadata":{"name":"one"},"specification":{"max_connections":5}},
 {"resource_kind":"services","metadata":{"name":"new"},"specification":{}}]}`))
	require.NoError(t, err)
	byPath := map[string]Difference{}
	for _, d := range differences {
		byPath[d.Path] = d
	}
	require.Equal(t, "{}", byPath["/teams/mesh/services/one"].Before)
	require.Contains(t, byPath["/teams/mesh/services/one"].After, "5")
	require.Empty(t, byPath["/teams/mesh/services/new"].Before)
	require.Empty(t, byPath["/teams/mesh/routes/a"].After)
	require.Len(t, differences, 8)
}
