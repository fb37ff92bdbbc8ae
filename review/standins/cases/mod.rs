pub mod late_accept;
pub mod late_refusal;
pub mod long_prompts;
