//! Faults of an xDS response, each with the place at which it was found.

/// Why a response is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum XdsError {
    /// It is not JSON.
    #[error("not JSON")]
    NotJson,
    /// A field has a value that it can't have.
    #[error("{field}: {fault}")]
    Field {
        /// Name of the field.
        field: String,
        /// What is wrong with it.
        fault: FieldFault,
    },
    /// A wrapper of a resource holds none.
    #[error("resources: a wrapper without a resource")]
    EmptyResource,
    /// A resource has no type.
    #[error("resources: one without '@type'")]
    UntypedResource,
    /// A resource is of a type that is not known.
    #[error("resources: '{type_url}' is neither a cluster nor endpoints")]
    UnknownResource {
        /// The type.
        type_url: String,
    },
    /// A cluster's name is empty or taken.
    #[error("cluster '{name}': without a name of its own")]
    ClusterName {
        /// The name.
        name: String,
    },
    /// The name of a load assignment's cluster is empty or taken.
    #[error("load assignment '{name}': without a name of its own")]
    LoadAssignmentName {
        /// The name.
        name: String,
    },
    /// An endpoint of a load assignment has a fault.
    #[error("load assignment '{name}': {source}")]
    LoadAssignment {
        /// Name of its cluster.
        name: String,
        /// The fault.
        source: Box<XdsError>,
    },
    /// A part of an endpoint's entry is missing.
    #[error("{0}")]
    Incomplete(&'static str),
    /// An endpoint has a weight of 0.
    #[error("endpoint {address}: a weight of 0")]
    ZeroWeight {
        /// The endpoint's address.
        address: String,
    },
    /// An endpoint's name has characters that the line protocol can't carry.
    #[error("endpoint {address}: its name can't be passed on")]
    InvalidName {
        /// The endpoint's address.
        address: String,
    },
    /// Two endpoints have the same name.
    #[error("endpoint '{name}': there twice")]
    DuplicateEndpoint {
        /// The name.
        name: String,
    },
}

/// What is wrong with the value of a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs, reason = "the fields are the parts of the messages")]
pub enum FieldFault {
    #[error("not an object")]
    NotAnObject,
    #[error("not a list")]
    NotAList,
    #[error("not a text")]
    NotAText,
    #[error("not a whole number")]
    NotAnInteger,
    #[error("not a number")]
    NotANumber,
    #[error("there in both spellings")]
    BothSpellings,
    #[error("not one that is known")]
    NotAnEnumValue,
    #[error("'{0}' is not known")]
    UnknownName(String),
}

impl FieldFault {
    /// The error that names the field.
    pub(super) fn in_field(self, field: &str) -> XdsError {
        XdsError::Field { field: field.to_owned(), fault: self }
    }
}
