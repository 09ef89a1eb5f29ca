use kqr_settings::schema::Node;
use kqr_types::{DataCentre, Region, TeamName};

/// A place that a team's quota is set for, or looked at from.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct Place {
    /// Region; the whole system if absent.
    #[arg(long)]
    pub region: Option<Region>,
    /// Data centre of the region.
    #[arg(long, requires = "region")]
    pub data_centre: Option<DataCentre>,
}

impl Place {
    /// Returns the node of `team` at this place.
    pub fn team(&self, team: &TeamName) -> Node {
        Node {
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
            team: Some(team.clone()),
            ..Node::default()
        }
    }
}
