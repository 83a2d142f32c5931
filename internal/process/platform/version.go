package platform

// Era counts how often the platform's store was restored from a copy. After a restore, revisions of the time behind the copy are assigned again.
type Era uint64
