pub mod late_refusal;
