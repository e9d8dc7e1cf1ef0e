//! The checks of a configuration beyond its types: ranges, references and duplicates.

use super::error::{
    ConfigurationError, DuplicateRouteSnafu, DuplicateServiceSnafu, InvalidPathPrefixSnafu, NoServiceSnafu,
    UnknownServiceSnafu, ZeroWeightsSnafu,
};
use super::{Configuration, Route};
use crate::range_errors;
use std::collections::BTreeSet;
use validator::Validate;

impl Configuration {
    /// Makes all checks; returns the first error.
    pub(super) fn check(&self) -> Result<(), ConfigurationError> {
        check_ranges("configuration", self)?;
        let mut services = BTreeSet::new();
        for service in &self.services {
            check_ranges(&format!("service {}", service.name), service)?;
            if !services.insert(service.name.as_str()) {
                return DuplicateServiceSnafu { service: &service.name }.fail();
            }
        }
        let mut locations = BTreeSet::new();
        for route in &self.routes {
            route.check(&services)?;
            if !locations.insert((route.host.to_ascii_lowercase(), route.path_prefix.as_str())) {
                return DuplicateRouteSnafu { route: &route.name }.fail();
            }
        }
        Ok(())
    }
}

impl Route {
    fn check(&self, services: &BTreeSet<&str>) -> Result<(), ConfigurationError> {
        check_ranges(&format!("route {}", self.name), self)?;
        if !self.path_prefix.starts_with('/') || !self.path_prefix.ends_with('/') {
            return InvalidPathPrefixSnafu { route: &self.name, prefix: &self.path_prefix }.fail();
        }
        if self.service.is_none() && self.backends.is_empty() {
            return NoServiceSnafu { route: &self.name }.fail();
        }
        let named_services = self.service.iter().chain(self.backends.iter().map(|backend| &backend.service));
        for service in named_services {
            if !services.contains(service.as_str()) {
                return UnknownServiceSnafu { route: &self.name, service }.fail();
            }
        }
        let total_weight: u64 = self.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        if !self.backends.is_empty() && total_weight == 0 {
            return ZeroWeightsSnafu { route: &self.name }.fail();
        }
        Ok(())
    }
}

fn check_ranges(location: &str, value: &impl Validate) -> Result<(), ConfigurationError> {
    value.validate().map_err(|errors| ConfigurationError::OutOfRange {
        location: location.to_owned(),
        text: range_errors::describe(&errors),
    })
}
