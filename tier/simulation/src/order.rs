//! The operator's orders: sample configurations, each with a route of its own.

use std::time::Duration;

/// The routes of a sample configuration: one whose turns are kept, one whose are not.
pub const ROUTES: &str = r#""Routes":[
    {"Name":"kept","Host":"tier.example","PathPrefix":"/kept/","RouteType":"streaming","TimeoutMs":5000,
     "TargetMs":250,"Priority":0,"Service":"engine","MaxAttempts":2,"Retained":true,"RetentionS":60.0},
    {"Name":"plain","Host":"tier.example","PathPrefix":"/plain/","RouteType":"streaming","TimeoutMs":5000,
     "TargetMs":250,"Priority":1,"Service":"engine","MaxAttempts":2}],
  "Services":[{"Name":"engine","HealthPath":"/health","MaxConns":230,
    "Engine":{"Capacity":8,"KvTokens":100000,"Stride":1}}]"#;

/// How long the sample routes retain turns.
pub const RETENTION: Duration = Duration::from_secs(60);

/// An order to replace the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// The version that it builds on.
    pub base: u64,
    /// Its version.
    pub version: u64,
    /// Who wrote it: orders of two authors with one version differ.
    pub author: u64,
}

/// The name of the route that only one version has; it tells the author too.
const ONLY: &str = "\"Name\":\"only-";

impl Order {
    /// The configuration: the sample routes, and one that only this version has.
    pub fn body(&self) -> String {
        self.body_with_retention(RETENTION)
    }

    /// The same configuration, whose turns are retained for so long.
    pub fn body_with_retention(&self, retention: Duration) -> String {
        let Order { version, author, .. } = self;
        let only = format!(
            "\"Routes\":[{{{ONLY}{version}-{author}\",\"Host\":\"tier.example\",\
             \"PathPrefix\":\"/only-{version}/\",\"RouteType\":\"non_idempotent\",\"TimeoutMs\":1000,\
             \"TargetMs\":250,\"Priority\":2,\"Service\":\"engine\",\"MaxAttempts\":1}},"
        );
        format!("{{\"Version\":{version},{}}}", ROUTES.replacen("\"Routes\":[", &only, 1))
            .replace("\"RetentionS\":60.0", &format!("\"RetentionS\":{:.1}", retention.as_secs_f64()))
    }

    /// The version and author of a configuration.
    pub(crate) fn read(body: &str) -> Option<(u64, u64)> {
        let (_, name) = body.split_once(ONLY)?;
        let (version, author) = name.split_once('"')?.0.split_once('-')?;
        Some((version.parse().ok()?, author.parse().ok()?))
    }
}

impl std::fmt::Display for Order {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} on {}", self.version, self.base)?;
        if self.author > 0 { write!(formatter, " by {}", self.author) } else { Ok(()) }
    }
}
