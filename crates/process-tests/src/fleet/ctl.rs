use std::process::Command;

use serde_json::Value;

use crate::fleet::start::OPERATOR;
use crate::fleet::{Fleet, FleetError};
use crate::process::binary;

/// What the operators' command printed.
#[derive(Clone, Debug)]
pub struct CtlOutput {
    /// Its exit code.
    pub code: Option<i32>,
    /// What it printed.
    pub text: String,
    /// What it printed as an error.
    pub errors: String,
}

impl CtlOutput {
    /// What it printed, as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }
}

impl Fleet {
    /// Runs the operators' command and waits for it.
    pub async fn ctl(&self, arguments: &[&str]) -> CtlOutput {
        self.ctl_as(OPERATOR, arguments).await
    }

    /// Runs the operators' command as another operator.
    pub async fn ctl_as(&self, operator: &str, arguments: &[&str]) -> CtlOutput {
        let mut command = Command::new(binary("celeryhaven-ctl"));
        command.arg("--settings").arg(self.path(&format!("{operator}.yaml"))).args(arguments);
        let output = smol::unblock(move || command.output()).await;
        match output {
            Ok(output) => CtlOutput {
                code: output.status.code(),
                text: String::from_utf8_lossy(&output.stdout).into_owned(),
                errors: String::from_utf8_lossy(&output.stderr).into_owned(),
            },
            Err(error) => CtlOutput { code: None, text: String::new(), errors: error.to_string() },
        }
    }

    /// Has the fleet's intent planned and confirmed; the plan as JSON.
    pub async fn declare(&self) -> Result<Value, FleetError> {
        let intent = self.path("intent.yaml");
        let planned = self.until("a plan is made", 30, || async {
            let output = self.ctl(&["--json", "plan", &intent]).await;
            (output.code == Some(0)).then(|| output.json())
        });
        let plan = planned.await?;
        let id = plan["planned"]["id"].as_str().unwrap_or_default().to_owned();
        let output = self.ctl(&["--json", "confirm", &id]).await;
        match output.code {
            Some(0) => Ok(plan),
            code => {
                let arguments = format!("confirm {id}");
                Err(FleetError::Ctl {
                    arguments,
                    code,
                    output: output.errors + output.text.as_str(),
                })
            }
        }
    }
}
