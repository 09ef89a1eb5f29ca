//! Bootstrap file, which lists the instances of the system with their addresses and data centres.

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
    /// Replicates the settings by consensus and stores them durably.
    Control,
}

/// Configuration of one instance of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique id of the instance.
    pub id: InstanceId,
    /// Role of the instance.
    pub role: Role,
    /// Data centre of the instance, one of [`Bootstrap::data_centres`].
    pub data_centre: DataCentre,
    /// Listener address for other instances.
    pub peers: SocketAddr,
    /// Listener address for callers; required for an entry.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Listener address for targets; required for an entry.
    #[serde(default)]
    pub targets: Option<SocketAddr>,
    /// Listener address for operators; required for a control instance.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
    /// Whether a control instance belongs to the initial voter configuration; `false` for one that is added
    /// later.
    #[serde(default = "is_founding_by_default")]
    pub founding: bool,
}

const fn is_founding_by_default() -> bool {
    true
}

/// Configuration of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreConfig {
    /// Name of the data centre.
    pub name: DataCentre,
    /// Region of the data centre.
    pub region: Region,
}

/// Content of the bootstrap file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bootstrap {
    /// All data centres.
    pub data_centres: Vec<DataCentreConfig>,
    /// Instances of all data centres.
    pub instances: Vec<Instance>,
    /// File that contains the operators' token; a relative path is resolved against the directory of the
    /// bootstrap file.
    #[serde(default)]
    pub operator_token_file: Option<PathBuf>,
    /// Files for mutual TLS between instances. Relative paths are resolved against the directory of the
    /// bootstrap file, and `{instance}` is replaced by the id of the instance. If absent, the instances use
    /// plain TCP.
    #[serde(default)]
    pub tls: Option<TlsFiles>,
}

/// Error that is returned when a bootstrap file can't be read or is invalid.
#[derive(Debug)]
pub struct BootstrapError {
    /// Path of the file, or another name of the source, such as `text`.
    pub source_name: String,
    /// Description of the problem and of what is allowed.
    pub detail: String,
}

impl fmt::Display for BootstrapError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.source_name, self.detail)
    }
}

impl std::error::Error for BootstrapError {}

impl Bootstrap {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or if [`Bootstrap::parse`] rejects its text.
    pub fn read(path: &Path) -> Result<Self, BootstrapError> {
        let source_name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| BootstrapError {
            source_name: source_name.clone(),
            detail: error.to_string(),
        })?;
        Self::parse(&source_name, &text)
    }

    /// Parses and validates `text`; error messages refer to it as `source_name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid YAML of the expected structure, if an instance id is used
    /// twice, if an instance refers to an undefined data centre, or if an instance lacks a listener that its
    /// role requires.
    pub fn parse(source_name: &str, text: &str) -> Result<Self, BootstrapError> {
        let error = |detail: String| BootstrapError {
            source_name: source_name.to_owned(),
            detail,
        };
        let bootstrap: Self = serde_saphyr::from_str(text).map_err(|cause| error(cause.to_string()))?;
        bootstrap.validate().map_err(error)?;
        Ok(bootstrap)
    }

    /// Returns the instance with `id`.
    ///
    /// # Errors
    ///
    /// Returns an error that lists the known instances if there is no instance with `id`.
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

    /// Returns the region of `data_centre`, or `None` if the data centre is not defined.
    pub fn region_of(&self, data_centre: &DataCentre) -> Option<&Region> {
        let found = self
            .data_centres
            .iter()
            .find(|config| config.name == *data_centre);
        found.map(|config| &config.region)
    }

    /// Returns the path of the operators' token file, resolved against the directory of the bootstrap file
    /// `config`.
    pub fn operator_token_file(&self, config: &Path) -> Option<PathBuf> {
        let file = self.operator_token_file.as_ref()?;
        Some(config.parent().unwrap_or(Path::new("")).join(file))
    }

    /// Returns the mutual TLS files of the instance `own`, resolved against the directory of the bootstrap
    /// file `config`.
    pub fn tls_files(&self, config: &Path, own: &InstanceId) -> Option<TlsFiles> {
        let directory = config.parent().unwrap_or(Path::new(""));
        let files = self.tls.as_ref()?;
        Some(files.for_instance(directory, own))
    }

    fn validate(&self) -> Result<(), String> {
        let data_centres: BTreeSet<&DataCentre> =
            self.data_centres.iter().map(|config| &config.name).collect();
        let mut ids = BTreeSet::new();
        for (index, instance) in self.instances.iter().enumerate() {
            if !ids.insert(&instance.id) {
                return Err(format!("instances[{index}].id: {} is used twice", instance.id));
            }
            if !data_centres.contains(&instance.data_centre) {
                let known: Vec<&str> = data_centres.iter().map(|name| name.as_str()).collect();
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
