console.log('x')
