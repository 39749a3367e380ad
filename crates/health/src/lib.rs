//! What is known of backends' health, and the allowances that protect them: pure, told the time.

pub mod allowance;
pub mod evidence;
