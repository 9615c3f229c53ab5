package quarantine

// PromptPart is a part of the prompts of requests for a service. The requests of all
// workspaces share it.
type PromptPart struct{ Service, ID string }
