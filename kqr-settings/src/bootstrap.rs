//! The bootstrap file: the instances of the system, with their addresses and data centres.

use std::{
    collections::BTreeSet,
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use kqr_types::{DataCentre, InstanceId, Region};
use serde::{Deserialize, Serialize};

use crate::TlsFiles;

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Serves callers and targets.
    Entry,
    /// Votes on the settings and keeps them durably.
    Control,
}

/// One instance of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Identity of the instance.
    pub id: InstanceId,
    /// Role of the instance.
    pub role: Role,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Listener for other instances.
    pub peers: SocketAddr,
    /// Listener for callers; entries only.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Listener for targets; entries only.
    #[serde(default)]
    pub targets: Option<SocketAddr>,
    /// Listener for operators.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
    /// Whether a control instance is a voter from the start of the system; `false` for one that is added later.
    #[serde(default = "is_founding_by_default")]
    pub founding: bool,
}

const fn is_founding_by_default() -> bool {
    true
}

/// One data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreConfig {
    /// Name of the data centre.
    pub name: DataCentre,
    /// Region that it belongs to.
    pub region: Region,
}

/// Content of the bootstrap file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bootstrap {
    /// Data centres.
    pub data_centres: Vec<DataCentreConfig>,
    /// Instances of all data centres.
    pub instances: Vec<Instance>,
    /// File with the operators' token; a relative path starts at the folder of the bootstrap file.
    #[serde(default)]
    pub operator_token_file: Option<PathBuf>,
    /// Files for mutual TLS between instances; a relative path starts at the folder of the bootstrap file, and
    /// `{instance}` stands for the id of the instance. Without them the instances speak plain TCP.
    #[serde(default)]
    pub tls: Option<TlsFiles>,
}

/// A bootstrap file that can't be used.
#[derive(Debug)]
pub struct BootstrapError {
    /// Path of the file, or `text` for a value from elsewhere.
    pub source_name: String,
    /// What is wrong and what is allowed.
    pub detail: String,
}

impl fmt::Display for BootstrapError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.source_name, self.detail)
    }
}

impl std::error::Error for BootstrapError {}

impl Bootstrap {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is not valid YAML, or names what it does not define.
    pub fn read(path: &Path) -> Result<Self, BootstrapError> {
        let source_name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| BootstrapError {
            source_name: source_name.clone(),
            detail: error.to_string(),
        })?;
        Self::parse(&source_name, &text)
    }

    /// Parses and checks `text`; `source_name` names it in errors.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid YAML or names what it does not define.
    pub fn parse(source_name: &str, text: &str) -> Result<Self, BootstrapError> {
        let error = |detail: String| BootstrapError {
            source_name: source_name.to_owned(),
            detail,
        };
        let bootstrap: Self = serde_saphyr::from_str(text).map_err(|cause| error(cause.to_string()))?;
        bootstrap.check().map_err(error)?;
        Ok(bootstrap)
    }

    /// Returns the instance with `id`.
    ///
    /// # Errors
    ///
    /// Fails if there is none; the error names those that exist.
    pub fn instance(&self, id: &InstanceId) -> Result<&Instance, BootstrapError> {
        let found = self.instances.iter().find(|instance| instance.id == *id);
        found.ok_or_else(|| {
            let known: Vec<&str> = self
                .instances
                .iter()
                .map(|instance| instance.id.as_str())
                .collect();
            let detail = format!("no instance {id}; known instances: {}", known.join(", "));
            BootstrapError {
                source_name: "instances".to_owned(),
                detail,
            }
        })
    }

    /// Returns the control instances.
    pub fn control_instances(&self) -> impl Iterator<Item = &Instance> {
        let instances = self.instances.iter();
        instances.filter(|instance| instance.role == Role::Control)
    }

    /// Returns the region of `data_centre`.
    pub fn region_of(&self, data_centre: &DataCentre) -> Option<&Region> {
        let site = self.data_centres.iter().find(|site| site.name == *data_centre);
        site.map(|site| &site.region)
    }

    /// Returns the path of the operators' token file; `config` is the path of the bootstrap file.
    pub fn operator_token_file(&self, config: &Path) -> Option<PathBuf> {
        let file = self.operator_token_file.as_ref()?;
        Some(config.parent().unwrap_or(Path::new("")).join(file))
    }

    /// Returns the files of `own` for mutual TLS; `config` is the path of the bootstrap file.
    pub fn tls_files(&self, config: &Path, own: &InstanceId) -> Option<TlsFiles> {
        let folder = config.parent().unwrap_or(Path::new(""));
        let files = self.tls.as_ref()?;
        Some(files.for_instance(folder, own))
    }

    fn check(&self) -> Result<(), String> {
        let sites: BTreeSet<&DataCentre> = self.data_centres.iter().map(|site| &site.name).collect();
        let mut ids = BTreeSet::new();
        for (index, instance) in self.instances.iter().enumerate() {
            if !ids.insert(&instance.id) {
                return Err(format!("instances[{index}].id: {} is used twice", instance.id));
            }
            if !sites.contains(&instance.data_centre) {
                let known: Vec<&str> = sites.iter().map(|site| site.as_str()).collect();
                let name = &instance.data_centre;
                let known = known.join(", ");
                return Err(format!(
                    "instances[{index}].data_centre: {name} is not one of {known}"
                ));
            }
            if instance.role == Role::Entry && instance.callers.is_none() {
                return Err(format!(
                    "instances[{index}].callers: an entry needs a listener address"
                ));
            }
            if instance.role == Role::Control && instance.operators.is_none() {
                return Err(format!(
                    "instances[{index}].operators: a control instance needs a listener address"
                ));
            }
            if instance.role == Role::Entry && instance.targets.is_none() {
                return Err(format!(
                    "instances[{index}].targets: an entry needs a listener address"
                ));
            }
        }
        Ok(())
    }
}
