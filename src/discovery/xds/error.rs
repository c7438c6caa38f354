//! Errors of the xDS decoder, each with the field or resource that is invalid.

/// The reason why a response is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum XdsError {
    /// The text can't be parsed as JSON.
    #[error("expected a DiscoveryResponse, but the text is not valid JSON")]
    NotJson,
    /// A field has an invalid value.
    #[error("{field}: {fault}")]
    Field {
        /// Name of the field.
        field: String,
        /// What is wrong with its value.
        fault: FieldFault,
    },
    /// An entry of type `Resource` does not contain a resource.
    #[error("resources: an entry of type Resource has no 'resource'")]
    EmptyResource,
    /// A resource has no type.
    #[error(
        "resources: an entry has no '@type', expected the type URL of a Cluster or ClusterLoadAssignment"
    )]
    UntypedResource,
    /// A resource has an unknown type.
    #[error("resources: unknown type '{type_url}', expected a Cluster or ClusterLoadAssignment")]
    UnknownResource {
        /// Type URL of the resource.
        type_url: String,
    },
    /// The name of a cluster is empty or not unique.
    #[error("cluster '{name}': the name is empty or used by another cluster")]
    ClusterName {
        /// Name of the cluster.
        name: String,
    },
    /// The cluster name of a load assignment is empty or not unique.
    #[error("load assignment '{name}': 'cluster_name' is empty or used by another load assignment")]
    LoadAssignmentName {
        /// Value of `cluster_name`.
        name: String,
    },
    /// An endpoint of a load assignment is invalid.
    #[error("load assignment '{name}': {source}")]
    LoadAssignment {
        /// Value of `cluster_name`.
        name: String,
        /// The error in the endpoint.
        source: Box<XdsError>,
    },
    /// A required field of an endpoint is missing or empty.
    #[error("{0}")]
    Incomplete(&'static str),
    /// An endpoint has a weight of 0.
    #[error("endpoint {address}: load_balancing_weight is 0, expected at least 1")]
    ZeroWeight {
        /// Address of the endpoint.
        address: String,
    },
    /// The name of an endpoint can't be sent in the line protocol.
    #[error("endpoint {address}: expected a name of 1 to 256 visible ASCII characters without ',' and '='")]
    InvalidName {
        /// Address of the endpoint.
        address: String,
    },
    /// Two endpoints have the same name.
    #[error("endpoint '{name}': the name is used by more than one endpoint")]
    DuplicateEndpoint {
        /// Name that both endpoints have.
        name: String,
    },
}

/// What is wrong with the value of a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs, reason = "the fields are the parts of the messages")]
pub enum FieldFault {
    #[error("expected an object")]
    NotAnObject,
    #[error("expected a list")]
    NotAList,
    #[error("expected a string")]
    NotAText,
    #[error("expected an integer from 0 to 4294967295")]
    NotAnInteger,
    #[error("expected a number")]
    NotANumber,
    #[error("given in both snake_case and lowerCamelCase")]
    BothSpellings,
    #[error("expected a name or a number from 0 to 5")]
    NotAnEnumValue,
    #[error("unknown value '{0}'")]
    UnknownName(String),
}

impl FieldFault {
    /// Returns the error for a field with this fault.
    pub(super) fn in_field(self, field: &str) -> XdsError {
        XdsError::Field { field: field.to_owned(), fault: self }
    }
}
