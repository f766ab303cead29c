"""sageweir: a session controller on real sockets round the decision module dahliabridge."""
